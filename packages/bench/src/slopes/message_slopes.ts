/** What messages cost on a real link: bytes on the wire, processor time. */

import {
  createSilentLogger,
  RandomSource,
  SystemClock,
} from "@rattanvane/base";
import { encodeMessage, type Message, PeerNetwork } from "@rattanvane/protocol";
import { readProcessorMicroseconds } from "./resources.ts";
import {
  createSampleContact,
  createSampleCounters,
  createSampleMessages,
  createSampleProgress,
  createSampleReport,
} from "./sample_messages.ts";
import type { Slope, SlopePoint } from "./slope.ts";

const MESSAGE_COUNTS = [500, 2000, 8000];
const ORGANISATION_COUNTS = [12, 120, 1200];
const ATTEMPT_COUNTS = [10, 100, 1000];
const ENTRY_COUNTS = [10, 100, 1000];
const REPEATS = 200;
/** What a link may hold at once; well under its queue's limit. */
const BATCH_BYTES = 20_000;
const HOST = "127.0.0.1";
const FLEET_KEY = "a fleet key that is used in measurements only";

/** What sending came to. */
interface Sending {
  bytes: number;
  microseconds: number;
}

/** Two routers' networks on the loopback. */
class LinkPair {
  #received = 0;
  readonly #sender: PeerNetwork;
  readonly #receiver: PeerNetwork;

  constructor() {
    this.#sender = this.#createNetwork(1);
    this.#receiver = this.#createNetwork(2);
  }

  /** Opens the link. */
  async start(signal: AbortSignal): Promise<void> {
    await this.#sender.start(signal);
    await this.#receiver.start(signal);
    this.#sender.registerContact({
      ...createSampleContact(2),
      host: HOST,
      controlPort: this.#receiver.port,
    });
  }

  /** Sends one message so many times and waits until all have arrived. */
  async measure(message: Message, count: number): Promise<Sending> {
    const { traffic } = this.#sender;
    const bytes = traffic.sentBytes;
    const microseconds = readProcessorMicroseconds();
    const target = this.#received + count;
    const size = encodeMessage(message).length;
    const batch = Math.max(1, Math.floor(BATCH_BYTES / size));
    for (let sent = 0; sent < count; sent++) {
      this.#sender.send(createSampleContact(2).vm, message);
      if (sent % batch === 0) {
        await this.#waitFor(target - count + sent);
      }
    }
    await this.#waitFor(target);
    return {
      bytes: traffic.sentBytes - bytes,
      microseconds: readProcessorMicroseconds() - microseconds,
    };
  }

  async #waitFor(received: number): Promise<void> {
    while (this.#received < received) {
      await new Promise<void>((resolve) => setImmediate(resolve));
    }
  }

  #createNetwork(index: number): PeerNetwork {
    return new PeerNetwork({
      self: { ...createSampleContact(index), host: HOST },
      listen: { host: HOST, port: 0 },
      fleetKeys: [FLEET_KEY],
      clock: new SystemClock(),
      random: new RandomSource(index),
      logger: createSilentLogger(),
      receive: () => {
        this.#received++;
      },
    });
  }
}

/** Measures the messages of a request, counters and reports. */
export async function measureMessageSlopes(
  signal: AbortSignal,
): Promise<Slope[]> {
  const pair = new LinkPair();
  await pair.start(signal);
  const slopes: Slope[] = [];
  for (const [name, message] of Object.entries(createSampleMessages())) {
    // Code that has not been compiled yet would bend the line.
    await pair.measure(message, Math.max(...MESSAGE_COUNTS));
    const sendings: Sending[] = [];
    for (const count of MESSAGE_COUNTS) {
      sendings.push(await pair.measure(message, count));
    }
    slopes.push(...buildSlopes(name, {
      sizeUnit: "message",
      sizes: MESSAGE_COUNTS,
      sendings,
    }));
  }
  slopes.push(
    ...await measureContents(pair, {
      name: "a charge in a batch",
      sizeUnit: "attempt",
      sizes: ATTEMPT_COUNTS,
      create: createSampleProgress,
    }),
    ...await measureContents(pair, {
      name: "an organisation in a counter message",
      sizeUnit: "organisation",
      sizes: ORGANISATION_COUNTS,
      create: createSampleCounters,
    }),
    ...await measureContents(pair, {
      name: "a waiting entry in a report",
      sizeUnit: "entry",
      sizes: ENTRY_COUNTS,
      create: createSampleReport,
    }),
  );
  return slopes;
}

/** Measures a message by what it holds. */
async function measureContents(
  pair: LinkPair,
  options: {
    name: string;
    sizeUnit: string;
    sizes: readonly number[];
    create: (size: number) => Message;
  },
): Promise<Slope[]> {
  const sendings: Sending[] = [];
  for (const size of options.sizes) {
    const message = options.create(size);
    await pair.measure(message, REPEATS);
    const { bytes, microseconds } = await pair.measure(message, REPEATS);
    sendings.push({
      bytes: bytes / REPEATS,
      microseconds: microseconds / REPEATS,
    });
  }
  return buildSlopes(options.name, { ...options, sendings });
}

function buildSlopes(
  name: string,
  measured: {
    sizeUnit: string;
    sizes: readonly number[];
    sendings: readonly Sending[];
  },
): Slope[] {
  const { sizeUnit, sizes, sendings } = measured;
  const collect = (pick: (sending: Sending) => number): SlopePoint[] =>
    sendings.map((sending, index) => ({
      size: sizes[index] ?? 0,
      value: pick(sending),
    }));
  return [
    { name, sizeUnit, unit: "bytes", points: collect(({ bytes }) => bytes) },
    {
      name: `${name}, both ends`,
      sizeUnit,
      unit: "us",
      points: collect(({ microseconds }) => microseconds),
    },
  ];
}
