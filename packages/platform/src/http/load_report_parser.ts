/** Parsing and validation of the load reports of endpoints. */

import { describeError } from "@rattanvane/base";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { EndpointAddress, LoadReport } from "../endpoint_client.ts";
import { EndpointError, EndpointErrorKind } from "../endpoint_error.ts";

const STATUS_OK = 200;

const LOAD_SCHEMA = z.object({
  bootId: z.string().min(1),
  uptimeMilliseconds: z.number().nonnegative(),
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
  slots: z.number().nonnegative(),
  ageMilliseconds: z.number().nonnegative(),
});

/** Parses a load report; any other response is a BadResponse error. */
export function parseLoadReport(
  address: EndpointAddress,
  answer: { status: number; body: Uint8Array },
): Result<LoadReport, EndpointError> {
  if (answer.status !== STATUS_OK) {
    return err(createError(address, `status ${answer.status}`));
  }
  try {
    const text = new TextDecoder().decode(answer.body);
    const parsed = LOAD_SCHEMA.safeParse(JSON.parse(text));
    return parsed.success
      ? ok(parsed.data)
      : err(createError(address, parsed.error.message));
  } catch (thrown) {
    return err(createError(address, describeError(thrown)));
  }
}

function createError(address: EndpointAddress, detail: string): EndpointError {
  return new EndpointError(
    EndpointErrorKind.BadResponse,
    `Endpoint "${address.endpoint}" sent no load report: ${detail}`,
  );
}
