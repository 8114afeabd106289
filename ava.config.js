export default {
    files: ["out/**/*.test.js", "target/platform/**/*.test.js", "!**/*.crowd.test.js"],
    timeout: "120s",
    concurrency: 4,
};
