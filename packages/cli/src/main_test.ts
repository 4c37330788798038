import { spawn } from "node:child_process";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { describe, it } from "mocha";
import { ExitCode } from "./exit_code.ts";

const PROGRAM = fileURLToPath(
  new URL("../bin/rattanvane.js", import.meta.url),
);
const RESET_DELAY_MILLISECONDS = 20;

function runProgram(
  words: string[],
  variables: Record<string, string> = {},
): Promise<{ code: number; text: string }> {
  const env = { ...process.env, ...variables };
  const child = spawn(process.execPath, [PROGRAM, ...words], { env });
  let text = "";
  child.stdout.on("data", (chunk) => text += chunk);
  child.stderr.on("data", (chunk) => text += chunk);
  return new Promise((resolve) => {
    child.on("close", (code) => resolve({ code: code ?? -1, text }));
  });
}

describe("the program rattanvane", () => {
  it("prints its help", async () => {
    const { code, text } = await runProgram(["--help"]);
    expect(code).to.equal(ExitCode.Ok);
    expect(text).to.include("Usage: rattanvane");
  });

  it("ends by itself when a VM cannot be reached", async () => {
    // Port 1 of the loopback refuses connections.
    const words = ["status", "--vm", "http://127.0.0.1:1"];
    const run = await runProgram(words, { RATTANVANE_OPERATOR_KEY: "key" });
    expect(run.code).to.equal(ExitCode.Unavailable);
    expect(run.text).to.include('Cannot reach "http://127.0.0.1:1/status"');
  });

  it("takes no answer of a VM as whole that is reset", async () => {
    const server = createServer((socket) => {
      socket.on("error", () => socket.destroy());
      socket.once("data", () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\n{"vm":"vm-a1"}');
        setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MILLISECONDS);
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const words = ["status", "--vm", `http://127.0.0.1:${port}`];
    const run = await runProgram(words, { RATTANVANE_OPERATOR_KEY: "key" });
    server.close();
    expect(run.code, run.text).to.equal(ExitCode.Unavailable);
    expect(run.text).to.include("The connection was reset");
    expect(run.text).to.not.include("vm-a1");
  });

  it("refuses to run a router with faulty settings", async () => {
    const run = await runProgram(["router", "--settings", "missing.yaml"]);
    expect(run.code).to.equal(ExitCode.Invalid);
    expect(run.text).to.include('"missing.yaml"');
  });
});
