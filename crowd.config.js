/** Tests that measure memory and descriptors of a process, and therefore run one at a time. */
export default {
    files: ["out/**/*.crowd.test.js", "target/platform/**/*.crowd.test.js"],
    timeout: "120s",
    concurrency: 1,
};
