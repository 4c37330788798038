/** A named link whose faults strike every connection that belongs to it. */

import { Emitter } from "@rattanvane/base";
import { HttpProblem } from "../common/http_exchange.ts";
import type { JsonFields } from "../common/json_fields.ts";

/** In which directions bytes are swallowed. */
export enum Blackhole {
  None = "none",
  ToTarget = "toTarget",
  FromTarget = "fromTarget",
  Both = "both",
}

/** The way that bytes take through the proxy. */
export enum Direction {
  ToTarget = "toTarget",
  FromTarget = "fromTarget",
}

/** The faults of a link. */
export interface LinkFaults {
  /** Connections are reset and new ones refused. */
  cut: boolean;
  blackhole: Blackhole;
  /** Added to each part of the bytes in both directions. */
  delayMilliseconds: number;
  /** Shared by nothing: each connection and direction has it; 0 for no limit. */
  bytesPerSecond: number;
  /** Resets each connection after so many bytes from the target; 0 for never. */
  cutAfterBytes: number;
}

/** Creates the faults of a link that works. */
export function createLinkFaults(): LinkFaults {
  return {
    cut: false,
    blackhole: Blackhole.None,
    delayMilliseconds: 0,
    bytesPerSecond: 0,
    cutAfterBytes: 0,
  };
}

/** Parses the faults of a link; what is not named works. */
export function parseLinkFaults(fields: JsonFields): LinkFaults {
  const healthy = createLinkFaults();
  fields.checkNames(Object.keys(healthy));
  const blackhole = (fields.get("blackhole") ?? Blackhole.None) as Blackhole;
  if (!Object.values(Blackhole).includes(blackhole)) {
    throw new HttpProblem(400, `The blackhole "${blackhole}" is not known`);
  }
  return {
    cut: fields.boolean("cut"),
    blackhole,
    delayMilliseconds: fields.number("delayMilliseconds", 0),
    bytesPerSecond: fields.number("bytesPerSecond", 0),
    cutAfterBytes: fields.number("cutAfterBytes", 0),
  };
}

/** A link's faults in force and its counts. */
export class Link {
  readonly name: string;
  /** Tells that the faults have changed. */
  readonly changed = new Emitter<LinkFaults>();
  connections = 0;
  bytesToTarget = 0;
  bytesFromTarget = 0;
  #faults = createLinkFaults();

  constructor(name: string) {
    this.name = name;
  }

  get faults(): LinkFaults {
    return this.#faults;
  }

  /** Puts faults in force in place of the former ones. */
  apply(faults: LinkFaults): void {
    this.#faults = faults;
    this.changed.emit(faults);
  }

  /** Whether bytes of a direction are swallowed. */
  swallows(direction: Direction): boolean {
    const { blackhole } = this.#faults;
    return blackhole === Blackhole.Both ||
      blackhole === (direction as string);
  }

  /** Counts bytes that were taken in. */
  count(direction: Direction, bytes: number): void {
    if (direction === Direction.ToTarget) {
      this.bytesToTarget += bytes;
    } else {
      this.bytesFromTarget += bytes;
    }
  }
}
