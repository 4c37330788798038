/** HTTP handler that lists the models an organisation is allowed to use. */

import { ServiceKind } from "@rattanvane/configuration";
import { type CallerExchange, CallerHandler } from "../caller/caller_server.ts";
import type { IngressContext } from "./ingress_context.ts";

const OK = 200;

/** Handles GET /v1/models. */
export class ModelsHandler extends CallerHandler {
  override readonly methods = ["GET"];
  readonly #context: IngressContext;

  constructor(context: IngressContext) {
    super();
    this.#context = context;
  }

  override matches(path: string): boolean {
    return path === "/v1/models";
  }

  override handle(exchange: CallerExchange): Promise<void> {
    const { configuration, organisation } = this.#context.authenticate(
      exchange,
    );
    const models = organisation.services.filter((name) =>
      configuration.services.get(name)?.kind === ServiceKind.Model
    );
    exchange.answer.sendJson(OK, {
      object: "list",
      data: models.map((id) => ({ id, object: "model" })),
    });
    return Promise.resolve();
  }
}
