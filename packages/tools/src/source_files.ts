/** Locates the source files of the workspace. */

import { readdirSync } from "node:fs";
import { join } from "node:path";

/** The parent folder of the packages. */
export const PACKAGES_FOLDER = "packages";

/** The folder of the adapter package for the users' platform. */
export const ADAPTER_FOLDER = "platform";

/** Lists all package folders, including the adapter, relative to the repository root. */
export function listPackageFolders(): string[] {
  const folders = readdirSync(PACKAGES_FOLDER).map((name) =>
    join(PACKAGES_FOLDER, name)
  );
  return [...folders, ADAPTER_FOLDER];
}

/** Lists the TypeScript sources of all packages, relative to the repository root. */
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
