export default {
    files: ["out/**/*.test.js", "target/platform/**/*.test.js"],
    timeout: "120s",
    concurrency: 4,
};
