import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { buildRoute } from "../testing/fixtures.ts";
import {
  countEstablishedConnections,
  runDepartingCallers,
} from "../testing/departing_callers.ts";
import { runPressingCallers } from "../testing/pressing_callers.ts";
import { RouterHarness, sendValidResponse } from "../testing/router_harness.ts";
import { SlowDialect } from "../testing/slow_dialect.ts";

const CALLERS = 20;
const SETTLING_MILLISECONDS = 300;
/** A VM that accepts 250 connections a second takes these within 0.6 s. */
const MAX_QUEUED_CONNECTIONS = 150;

const PRESSING_LOAD = {
  request: buildRequest("pressing"),
  keptCallers: 240,
  retryMilliseconds: 300,
  newPerSecond: 300,
  patienceMilliseconds: 1_000,
  warmUpMilliseconds: 2_000,
  milliseconds: 5_000,
};

let harness = new RouterHarness();

/** Load: a VM that was busy while callers sent their requests and gave up. */
describe("IngressServer", () => {
  beforeEach(() => {
    harness = new RouterHarness();
    harness.applyConfiguration({ routes: [buildRoute()] });
  });

  afterEach(() => harness.stop());

  it("sends no request on whose caller has left before it was read", async () => {
    await harness.startEndpoint("e1", sendValidResponse);
    const router = await harness.startReadyRouter();
    const first = await harness.send(router);
    expect(first.status).to.equal(200);
    const { host, port } = router.settings.callers;
    const requests = Array.from(
      { length: CALLERS },
      (_, index) => buildRequest(`departed-${index}`),
    );
    await runDepartingCallers({ host, port, requests });
    await new Promise((resolve) => setTimeout(resolve, SETTLING_MILLISECONDS));
    expect(harness.receivedRequests).to.have.lengthOf(1);
  });

  it("answers new connections while kept ones press it with requests", async () => {
    await harness.startEndpoint("e1", sendValidResponse);
    const router = await harness.startReadyRouter();
    const { tried, answered } = await runPressingCallers({
      ...router.settings.callers,
      ...PRESSING_LOAD,
    });
    expect(answered / tried).to.be.at.least(0.5);
  });

  it("answers new connections while requests take all of a slow processor", async () => {
    await harness.startEndpoint("e1", sendValidResponse);
    const router = await harness.startReadyRouter({
      dialect: new SlowDialect(),
    });
    const { tried, answered } = await runPressingCallers({
      ...router.settings.callers,
      ...PRESSING_LOAD,
    });
    expect(answered / tried).to.be.at.least(0.5);
  });

  it("keeps few connections that it does not accept", async () => {
    const router = await harness.startReadyRouter();
    const established = await countEstablishedConnections({
      ...router.settings.callers,
      callers: 400,
      busyMilliseconds: 500,
    });
    expect(established).to.be.within(1, MAX_QUEUED_CONNECTIONS);
  });
});

function buildRequest(id: string): string {
  return [
    "POST /a/x HTTP/1.1",
    "Host: one.example",
    "X-Key: key-1",
    `X-Request: ${id}`,
    "Content-Length: 4",
    "",
    "body",
  ].join("\r\n");
}
