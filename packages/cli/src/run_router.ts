/** The one place where the command line meets the router. */

import type { RouterSettings } from "@rattanvane/settings";

/** What the router library exports for its daemon. */
export type RunRouter = (
  options: { settings: RouterSettings },
  signal: AbortSignal,
) => Promise<void>;

/**
 * Loads the router and runs it. It is loaded only here, so that the other
 * commands start fast.
 */
export async function runRouterDaemon(
  settings: RouterSettings,
  signal: AbortSignal,
): Promise<void> {
  const library: object = await import("@rattanvane/router");
  const run: unknown = Reflect.get(library, "runRouter");
  if (typeof run !== "function") {
    throw new Error("the router library has no runRouter");
  }
  await (run as RunRouter)({ settings }, signal);
}
