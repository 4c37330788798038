/** The dependency layers of the packages. */

/** Packages by layer, lowest first; a package may import only from lower layers. */
export const LAYERS: readonly (readonly string[])[] = [
  ["base"],
  ["protocol", "settings"],
  ["platform"],
  ["configuration"],
  ["membership", "fairness", "limits", "once"],
  ["scheduling", "forwarding"],
  ["router"],
  ["cli"],
  ["emulator"],
  ["bench"],
  ["tools"],
];

/** Test-only packages, which product packages must not import. */
export const TEST_ONLY_PACKAGES = new Set(["emulator", "bench", "tools"]);

/** The adapter for the users' platform; above all layers, so no package may import it. */
export const ADAPTER_PACKAGE = "platform-adapter";
