import { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { MODEL_SERVICE, PLAIN_SERVICE } from "../fleet/fleet_options.ts";
import { type ProofFleet, startProofFleet } from "./proof_fleet.ts";

/** The memory of the smallest machine in use. */
const MACHINE_BYTES = 178e6;
/** Their bodies take three times that. */
const SENDERS = 128;
const BODY_BYTES = 4 * 1024 * 1024;
const CHUNK_BYTES = 64 * 1024;
const PIPELINES = 8;
const CONNECT_GAP_MILLISECONDS = 20;
const CROWD_MILLISECONDS = 8_000;
const SAMPLE_MILLISECONDS = 50;
const TEST_TIMEOUT_MILLISECONDS = 120_000;

const UNKNOWN_REQUEST = "GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n";

interface CrowdCase {
  title: string;
  connections: number;
  /** Sent at first. */
  head: string;
  /** Sent so many times after it. */
  block: Buffer;
  blocks: number;
}

function buildSenders(target: string): CrowdCase {
  const chunk = `${CHUNK_BYTES.toString(16)}\r\n${"x".repeat(CHUNK_BYTES)}\r\n`;
  return {
    title: `chunked bodies that stop short, at ${target}`,
    connections: SENDERS,
    head:
      `POST ${target} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer KEY\r\n` +
      "transfer-encoding: chunked\r\n\r\n",
    block: Buffer.from(chunk),
    blocks: BODY_BYTES / CHUNK_BYTES - 1,
  };
}

const CASES: CrowdCase[] = [
  buildSenders("/v1/completions"),
  buildSenders(`/services/${PLAIN_SERVICE}/print`),
  {
    title: "small requests without end, whose answers nobody reads",
    connections: PIPELINES,
    head: "",
    block: Buffer.from(UNKNOWN_REQUEST.repeat(CHUNK_BYTES / 64)),
    blocks: Infinity,
  },
];

/** Load: a few callers send outside the limits, and others are served beside. */
describe("callers outside the limits of a router", () => {
  let proof: ProofFleet | undefined;
  const sockets: Socket[] = [];
  let end = new AbortController();

  afterEach(async () => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    await proof?.stop();
    end.abort();
    end = new AbortController();
  });

  for (const { title, connections, head, block, blocks } of CASES) {
    it(`do not end it: ${title}`, async () => {
      proof = await startProofFleet({
        zones: ["zone-a"],
        routersPerZone: 1,
        proxied: false,
      }, end.signal);
      const { fleet } = proof;
      const { process, plan } = fleet.router("vm-a1");
      const { key } = proof.findOrganisation();
      let residentBytes = 0;
      const timer = setInterval(() => {
        residentBytes = readPeakMemory(process.processId) ?? residentBytes;
      }, SAMPLE_MILLISECONDS);
      const sent: Promise<void>[] = [];
      for (let index = 0; index < connections; index++) {
        const socket = connect({ host: plan.host, port: plan.callerPort });
        socket.on("error", () => socket.destroy());
        sockets.push(socket);
        socket.write(head.replace("KEY", key));
        sent.push(writeBlocks(socket, { block, blocks }));
        await proof.pause(CONNECT_GAP_MILLISECONDS);
      }
      await Promise.race([Promise.all(sent), proof.pause(CROWD_MILLISECONDS)]);
      const call = { vm: "vm-a1", prompt: MODEL_SERVICE, tokens: 3 };
      const { verdict, problem } = await proof.sendText(call);
      clearInterval(timer);
      expect(process.isRunning).to.equal(true);
      expect(verdict, problem).to.equal("whole");
      expect(residentBytes).to.be.below(MACHINE_BYTES);
    }).timeout(TEST_TIMEOUT_MILLISECONDS);
  }
});

async function writeBlocks(
  socket: Socket,
  { block, blocks }: { block: Buffer; blocks: number },
): Promise<void> {
  for (let sent = 0; sent < blocks && !socket.destroyed; sent++) {
    await new Promise<void>((resolve) => {
      const settle = () => {
        socket.off("close", settle);
        setImmediate(resolve);
      };
      socket.once("close", settle);
      socket.write(block, settle);
    });
  }
}

/** Reads the most resident memory so far; undefined after the process. */
function readPeakMemory(processId: number): number | undefined {
  try {
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    const kilobytes = /VmHWM:\s*(\d+) kB/.exec(status)?.[1];
    return kilobytes === undefined ? undefined : Number(kilobytes) * 1_024;
  } catch {
    // The test checks whether the process runs.
    return undefined;
  }
}
