/** Development tools: lint checks and the test runner. */

export {};
