/** JSON calls to the admin ports of stand-ins and to routers. */

import { Buffer } from "node:buffer";
import { describeError } from "@rattanvane/base";
import { request } from "undici";
import { BenchError, BenchErrorKind } from "./bench_error.ts";

const FIRST_FAILING_STATUS = 400;

/** One JSON call. */
export interface JsonCall {
  method: string;
  path: string;
  body?: unknown;
}

/** Calls one base URL; every refusal is thrown as a BenchError. */
export class JsonClient {
  readonly #url: string;

  constructor(url: string) {
    this.#url = url;
  }

  /** Reads a JSON body. */
  async read<Body>(path: string): Promise<Body> {
    return await this.send<Body>({ method: "GET", path });
  }

  /** Sends a call and reads the answer's body, if there is one. */
  async send<Body>(call: JsonCall): Promise<Body> {
    const { status, text } = await this.#exchange(call);
    if (status >= FIRST_FAILING_STATUS) {
      throw this.#createError(call, `${status} ${text}`);
    }
    return (text === "" ? undefined : JSON.parse(text)) as Body;
  }

  async #exchange(call: JsonCall): Promise<{ status: number; text: string }> {
    try {
      const response = await request(`${this.#url}${call.path}`, {
        method: call.method,
        ...(call.body === undefined
          ? {}
          : { body: Buffer.from(JSON.stringify(call.body)) }),
      });
      const text = await response.body.text();
      return { status: response.statusCode, text };
    } catch (error) {
      throw this.#createError(call, describeError(error));
    }
  }

  #createError(call: JsonCall, reason: string): BenchError {
    return new BenchError(
      BenchErrorKind.Admin,
      `${call.method} "${this.#url}${call.path}" failed: ${reason}`,
    );
  }
}
