import { expect } from "chai";
import { describe, it } from "mocha";
import { buildConfiguration, buildRoute } from "../testing/fixtures.ts";
import { RouteTable } from "./route_table.ts";

describe("RouteTable", () => {
  it("finds the route of a host with the longest prefix of the path", () => {
    const table = new RouteTable(buildConfiguration({
      routes: [
        buildRoute({ name: "short", pathPrefix: "/a/" }),
        buildRoute({ name: "long", pathPrefix: "/a/b/" }),
        buildRoute({ name: "other", host: "two.example" }),
      ],
    }));
    expect(table.findRoute("one.example", "/a/b/c")?.name).to.equal("long");
    expect(table.findRoute("one.example:8080", "/a/c")?.name).to.equal("short");
    expect(table.findRoute("TWO.example", "/a/c")?.name).to.equal("other");
    expect(table.findRoute("one.example", "/b/")).to.equal(undefined);
    expect(table.findRoute("three.example", "/a/")).to.equal(undefined);
  });

  it("finds an organisation by any of its keys", () => {
    const table = new RouteTable(buildConfiguration({
      organisations: [
        { name: "bakery", keys: ["k1", "k2"], priority: 0 },
        { name: "camp", keys: ["k3"], priority: undefined },
      ],
    }));
    expect(table.findOrganisation("k2")?.name).to.equal("bakery");
    expect(table.findOrganisation("k3")?.name).to.equal("camp");
    expect(table.findOrganisation("k4")).to.equal(undefined);
  });
});
