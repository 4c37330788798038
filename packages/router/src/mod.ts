/** The router as a library; the daemon is a thin layer over it. */

export {
  type CallerErrorDescription,
  CallerErrorKind,
  CallOutcome,
  listCallerErrors,
} from "./caller/caller_error.ts";
export { Router, runRouter, type RunRouterOptions } from "./router.ts";
