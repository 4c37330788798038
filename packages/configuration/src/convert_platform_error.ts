/** Converts platform errors to configuration errors. */

import { type PlatformError, PlatformErrorKind } from "@rattanvane/platform";
import {
  ConfigurationError,
  ConfigurationErrorKind,
} from "./configuration_error.ts";

/** Wraps the error of a platform call that read or had no effect. */
export function convertPlatformError(error: PlatformError): ConfigurationError {
  const kind = error.kind === PlatformErrorKind.OutcomeUnknown
    ? ConfigurationErrorKind.OutcomeUnknown
    : ConfigurationErrorKind.PlatformUnavailable;
  return new ConfigurationError({
    kind,
    problem: `Cannot use the platform's services: ${error.message}`,
    remedy: "try again when the platform answers",
    cause: error,
  });
}
