/** The router as a library, which the daemon wraps. */

export {
  type CallerErrorDescription,
  CallerErrorKind,
  CallOutcome,
  listCallerErrors,
} from "./caller/caller_error.ts";
export { Router, runRouter, type RunRouterOptions } from "./router.ts";
