/** Access to the platform's VM list over HTTP. */

import type { Result } from "neverthrow";
import { z } from "zod";
import type { PlatformError } from "../platform_error.ts";
import { type ListedVm, ListedVmState, VmList } from "../vm_list.ts";
import type { PlatformTransport } from "./platform_transport.ts";
import { readPage } from "./read_page.ts";

const MAX_PORT = 65_535;

const PORT_SCHEMA = z.int().min(1).max(MAX_PORT);
const LIST_SCHEMA = z.object({
  vms: z.array(z.object({
    vm: z.string().min(1),
    zone: z.string().min(1),
    host: z.string().min(1),
    controlPort: PORT_SCHEMA,
    callerPort: PORT_SCHEMA,
    state: z.enum(ListedVmState),
  })),
});

/** Reads the VM list through the platform's HTTP protocol. */
export class HttpVmList extends VmList {
  readonly #transport: PlatformTransport;

  constructor(transport: PlatformTransport) {
    super();
    this.#transport = transport;
  }

  override async list(
    signal: AbortSignal,
  ): Promise<Result<ListedVm[], PlatformError>> {
    const page = await readPage(
      this.#transport,
      { path: "/vms", schema: LIST_SCHEMA },
      signal,
    );
    return page.map(({ vms }) => vms);
  }
}
