/** Files for tests of commands. */

import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** A folder that a test fills and removes. */
export class TemporaryFolder {
  readonly #path = mkdtempSync(join(tmpdir(), "rattanvane-test-"));

  /** The path of a file in the folder. */
  find(name: string): string {
    return join(this.#path, name);
  }

  /** Writes a file and returns its path. */
  write(name: string, text: string): string {
    const path = this.find(name);
    writeFileSync(path, text);
    return path;
  }

  /** Reads a file of the folder. */
  read(name: string): string {
    return readFileSync(this.find(name), "utf8");
  }

  /** Removes the folder with all its files. */
  remove(): void {
    rmSync(this.#path, { recursive: true });
  }
}
