/** The order of the packages. */

/** The packages from the lowest layer to the highest. */
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

/** Test support that no package of the product may import. */
export const TEST_SUPPORT = new Set(["emulator", "bench", "tools"]);

/** Translates the users' platform; above the product, which never imports it. */
export const ADAPTER_PACKAGE = "platform-adapter";
