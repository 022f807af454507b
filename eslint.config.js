import tseslint from "typescript-eslint";

const portGlobals = ["setTimeout", "setInterval", "fetch"].map(name => ({
    name,
    message: "Use the Clock or Http port.",
}));
const portModules = ["net", "http", "https", "fs", "fs/promises", "child_process"].flatMap(name => [
    { name, message: "Only the ports (and the launchers in src/tools) touch the operating system." },
    { name: `node:${name}`, message: "Only the ports (and the launchers in src/tools) touch the operating system." },
]);
const importThroughIndex = {
    regex: "^(\\.\\./){2,}[a-zA-Z]+/[^/]+/.+",
    message: "Import another aggregate only through its index.",
};

export default tseslint.config(
    { ignores: ["dist", "node_modules"] },
    ...tseslint.configs.recommended,
    {
        files: ["src/**/*.ts"],
        languageOptions: { parserOptions: { projectService: true } },
        rules: {
            "@typescript-eslint/no-floating-promises": ["error", {
                allowForKnownSafeCalls: [{ from: "package", name: ["describe", "it"], package: "node:test" }],
            }],
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "function", format: ["camelCase"] },
            ],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined." },
                { selector: "ExportDefaultDeclaration", message: "Use named exports." },
                {
                    selector: "CallExpression[callee.object.name='Date'][callee.property.name='now']",
                    message: "Use the Clock port.",
                },
                {
                    selector: "CallExpression[callee.object.name='Math'][callee.property.name='random']",
                    message: "Use the Random port.",
                },
            ],
            "no-restricted-globals": ["error", ...portGlobals],
            "no-restricted-imports": ["error", { paths: portModules, patterns: [importThroughIndex] }],
            "eqeqeq": "error",
            "curly": ["error", "multi-line"],
        },
    },
    {
        files: ["src/ports/**/*.ts", "src/tools/**/*.ts", "src/boot/**/*.ts"],
        rules: { "no-restricted-globals": "off", "no-restricted-imports": "off", "no-restricted-syntax": "off" },
    },
);
