import { Socket } from "node:net";
import { expect } from "chai";
import { describe, it } from "mocha";
import { ConnectionLimit } from "./connection_limit.ts";

/** Load: more connections than the limit. */
describe("ConnectionLimit", () => {
  it("closes the oldest connection, and none that was removed", () => {
    const limit = new ConnectionLimit(2);
    const sockets = Array.from({ length: 5 }, () => new Socket());
    const [known, renewed, ...others] = sockets as [
      Socket,
      Socket,
      ...Socket[],
    ];
    limit.add(known);
    limit.remove(known);
    for (const other of others) {
      limit.add(renewed);
      limit.add(other);
    }
    const closed = sockets.filter(({ destroyed }) => destroyed);
    expect(closed).to.deep.equal(others.slice(0, -1));
  });
});
