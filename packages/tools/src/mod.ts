/** Development tools: lints and the test runner. */

export {};
