/** Finds the workspace's own source files. */

import { readdirSync } from "node:fs";
import { join } from "node:path";

/** The folder that holds the packages. */
export const PACKAGES_FOLDER = "packages";

/** The folder that translates the users' platform, a package of its own. */
export const ADAPTER_FOLDER = "platform";

/** Lists the folders of all packages, as paths from the root. */
export function listPackageFolders(): string[] {
  const folders = readdirSync(PACKAGES_FOLDER).map((name) =>
    join(PACKAGES_FOLDER, name)
  );
  return [...folders, ADAPTER_FOLDER];
}

/** Lists the TypeScript sources of all packages, as paths from the root. */
export function listSourceFiles(): string[] {
  const files: string[] = [];
  for (const folder of listPackageFolders()) {
    collectFiles(join(folder, "src"), files);
  }
  return files.sort();
}

function collectFiles(folder: string, files: string[]): void {
  for (const entry of readdirSync(folder, { withFileTypes: true })) {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) {
      collectFiles(path, files);
    } else if (entry.name.endsWith(".ts")) {
      files.push(path);
    }
  }
}
