import js from "@eslint/js";

export default [
    js.configs.recommended,
    {
        languageOptions: {
            globals: {
                Buffer: "readonly",
                URL: "readonly",
                clearTimeout: "readonly",
                performance: "readonly",
                process: "readonly",
                setTimeout: "readonly",
            },
        },
    },
];
