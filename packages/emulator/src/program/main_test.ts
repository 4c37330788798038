import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";

const PROGRAM = fileURLToPath(new URL("../main.js", import.meta.url));

let child: ChildProcess | undefined;

afterEach(() => {
  child?.kill("SIGKILL");
});

async function startProgram(...words: string[]): Promise<string> {
  child = spawn(process.execPath, [PROGRAM, ...words], {
    stdio: ["ignore", "pipe", "ignore"],
  });
  const lines = createInterface({
    input: child.stdout as NodeJS.ReadableStream,
  });
  const [line] = await once(lines, "line") as [string];
  return line;
}

describe("emulator program", () => {
  const cases = [
    { name: "platform", path: "/vms" },
    { name: "engine", path: "/load" },
    { name: "plain", path: "/load" },
    { name: "proxy", path: "/links" },
  ];
  for (const { name, path } of cases) {
    it(`runs the ${name} until SIGTERM`, async () => {
      const report = JSON.parse(await startProgram(name));
      expect(report.ready).to.equal(true);
      const answer = await fetch(`http://127.0.0.1:${report.port}${path}`);
      expect(answer.status).to.equal(200);
      child?.kill("SIGTERM");
      const [code] = await once(child as ChildProcess, "exit");
      expect(code).to.equal(0);
    });
  }

  it("refuses an option that is no number", async () => {
    child = spawn(process.execPath, [PROGRAM, "engine", "--slots", "many"], {
      stdio: "ignore",
    });
    const [code] = await once(child, "exit");
    expect(code).to.equal(1);
  });
});
