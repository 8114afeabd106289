export default {
    files: ["out/**/*.test.js"],
    timeout: "120s",
    concurrency: 4,
};
