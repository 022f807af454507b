import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../ports/index.js";
import { makeCheckedDocument, makeRoute } from "../fixtures/index.js";
import { pickTargetPool, RouteTable } from "./index.js";

describe("RouteTable", () => {
    const routes = [
        makeRoute({ name: "all", pathPrefix: "/" }),
        makeRoute({ name: "orders", pathPrefix: "/orders/" }),
        makeRoute({ name: "paid", pathPrefix: "/orders/paid/" }),
        makeRoute({ name: "other", host: "depot.example", pathPrefix: "/x/" }),
    ];
    const table = new RouteTable(makeCheckedDocument({ routes }));
    const nameOf = (host: string, path: string) => table.findRoute(host, path)?.name;

    it("finds the longest prefix that matches the path", () => {
        assert.equal(nameOf("shop.example", "/orders/paid/7"), "paid");
        assert.equal(nameOf("shop.example", "/orders/7?from=/orders/paid/"), "orders");
        assert.equal(nameOf("shop.example", "/orders"), "all");
    });

    it("matches a host with a port and in any letter case", () => {
        assert.equal(nameOf("Depot.Example:8080", "/x/1"), "other");
    });

    it("finds nothing if no route of the host matches", () => {
        assert.equal(nameOf("depot.example", "/y/"), undefined);
        assert.equal(nameOf("elsewhere.example", "/x/"), undefined);
    });

    it("finds the owner of a key", () => {
        assert.equal(table.findOwner("butcher-key")?.workspace, "butcher");
        assert.equal(table.findOwner("other"), undefined);
    });
});

describe("pickTargetPool", () => {
    it("picks by the weights, and never a weight of 0", () => {
        const targets = [{ pool: "draft", weight: 90 }, { pool: "ledger", weight: 10 }, { pool: "draft", weight: 0 }];
        const [route] = makeCheckedDocument({ routes: [makeRoute({ targets })] }).routes;
        const random = new SeededRandom(7);
        const draws = Array.from({ length: 1_000 }, () => pickTargetPool(route, random));
        const ledger = draws.filter(pool => pool === "ledger").length;
        assert.ok(ledger > 60 && ledger < 140, `${ledger} of 1000`);
    });
});
