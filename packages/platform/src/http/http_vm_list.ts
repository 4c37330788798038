/** The platform's list of VMs over HTTP. */

import { err, type Result } from "neverthrow";
import { z } from "zod";
import { type PlatformError, PlatformErrorKind } from "../platform_error.ts";
import { type ListedVm, ListedVmState, VmList } from "../vm_list.ts";
import { createStatusError, parseAnswer } from "./platform_answers.ts";
import { PlatformCallKind } from "./platform_call.ts";
import type { PlatformTransport } from "./platform_transport.ts";

const STATUS_OK = 200;
const HIGHEST_PORT = 65_535;

const PORT_SCHEMA = z.int().min(1).max(HIGHEST_PORT);
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

/** Reads the list through the platform's HTTP protocol. */
export class HttpVmList extends VmList {
  readonly #transport: PlatformTransport;

  constructor(transport: PlatformTransport) {
    super();
    this.#transport = transport;
  }

  override async list(
    signal: AbortSignal,
  ): Promise<Result<ListedVm[], PlatformError>> {
    const answer = await this.#transport.run({
      kind: PlatformCallKind.Read,
      method: "GET",
      path: "/vms",
    }, signal);
    if (answer.isErr()) {
      return err(answer.error);
    }
    if (answer.value.status !== STATUS_OK) {
      return err(
        createStatusError(answer.value, PlatformErrorKind.BadResponse),
      );
    }
    return parseAnswer(answer.value, {
      schema: LIST_SCHEMA,
      errorKind: PlatformErrorKind.BadResponse,
    }).map((page) => page.vms);
  }
}
