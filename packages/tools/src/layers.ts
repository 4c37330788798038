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
  // Nothing but its own entry may import the platform's names.
  ["platform-adapter"],
  ["emulator"],
  ["bench"],
  ["tools"],
];

/** Test support that no package of the product may import. */
export const TEST_SUPPORT = new Set(["emulator", "bench", "tools"]);
