import js from "@eslint/js";
import * as tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["out/**", "target/**", "node_modules/**"] },
    js.configs.recommended,
    ...tseslint.configs.recommendedTypeChecked,
    {
        files: ["src/**/*.ts", "platform/**/*.ts"],
        languageOptions: { parserOptions: { project: ["./tsconfig.json", "./tsconfig.platform.json"] } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "prefer-const": "error",
            "prefer-arrow-callback": "error",
            "max-lines": ["error", { max: 350 }],
            "no-restricted-syntax": [
                "error",
                { selector: "ImportDefaultSpecifier", message: "Use a namespace import." },
                { selector: "ImportSpecifier", message: "Use a namespace import." },
            ],
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            // Objects are made by factories that close over their state; their methods do not use `this`.
            "@typescript-eslint/unbound-method": "off",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
        },
    },
    {
        // The default export is how ava offers its test function.
        files: ["src/**/*.test.ts", "platform/**/*.test.ts"],
        rules: { "no-restricted-syntax": "off" },
    },
    { files: ["*.js"], ...tseslint.configs.disableTypeChecked },
);
