import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { countStarts, RoutedFleet, RoutedFleetOptions, TestReply } from "../../faultInjection/index.js";
import { WorkspaceId } from "../../ids/index.js";

const KEY = "plain-key";
const NAMES = ["Huế", "Café", "Cafe\u0301", "名前", "emoji \u{1F600}", "100%", "a|b:c,d#e"];

function makeRoute(parts: object = {}): object {
    return {
        name: "status",
        host: "shop.example",
        pathPrefix: "/status/",
        kind: "idempotent",
        timeoutMs: 2_000,
        targetMs: 300,
        tier: 1,
        attempts: 2,
        resumable: false,
        keyless: false,
        targets: [{ pool: "ledger", weight: 1 }],
        ...parts,
    };
}

function makeDocument(parts: Record<string, unknown> = {}): unknown {
    return {
        version: 1,
        routes: [makeRoute()],
        pools: [{ pool: "ledger", connections: 100 }],
        limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        workspaces: [{ workspace: "butcher", keys: [KEY] }],
        ...parts,
    };
}

describe("names that not every header, path or object can hold", () => {
    let fleet: RoutedFleet;

    async function startFleet(document: unknown, layout: Partial<RoutedFleetOptions> = {}): Promise<void> {
        fleet = new RoutedFleet({ controls: 3, ...layout });
        await fleet.start(document);
    }

    function call(key: string, path = "/status/1", host?: string): Promise<TestReply> {
        return fleet.call({ entry: 0, path, key, host });
    }

    /** Workspaces that upstreams were told, one for each run. */
    function listWorkspaces(): (string | undefined)[] {
        return fleet.upstreams.flatMap(({ runs }) => runs.map(({ workspace }) => workspace));
    }

    afterEach(() => fleet.close());

    describe("workspaces", () => {
        it("are told to upstreams as they are, in one encoding", async () => {
            // Failure: each request of such a workspace gets a 500, or two names reach upstreams as one.
            const workspaces = NAMES.map((workspace, number) => ({ workspace, keys: [`key-${number}`] }));
            await startFleet(makeDocument({ workspaces }));
            for (const number of NAMES.keys()) assert.equal((await call(`key-${number}`)).status, 200);
            assert.deepEqual(listWorkspaces().sort(), [...NAMES].sort());
        });

        it("are billed also where each object has a property of their name", async () => {
            // Failure: the requests of a workspace run, and no report of usage has them.
            const names = ["__proto__", "toString", "constructor", "hasOwnProperty"] as WorkspaceId[];
            await startFleet(makeDocument({ workspaces: names.map(name => ({ workspace: name, keys: [name] })) }));
            for (const name of [...names, ...names]) assert.equal((await call(name)).status, 200);
            await fleet.advance(2_000);
            assert.deepEqual(names.map(name => countStarts(fleet, name)), [2, 2, 2, 2]);
        });
    });

    describe("keys", () => {
        it("identify their workspace", async () => {
            // Failure: a key beyond ASCII is acknowledged, and requests with it get 401.
            const keys = ["ключ", "clé", "two words", "__proto__", "\u{1F511}"];
            const workspaces = keys.map((key, number) => ({ workspace: `butcher-${number}`, keys: [key] }));
            await startFleet(makeDocument({ workspaces }));
            for (const key of keys) assert.equal((await call(key)).status, 200, key);
            assert.deepEqual(listWorkspaces().sort(), workspaces.map(({ workspace }) => workspace));
        });
    });

    describe("hosts and path prefixes", () => {
        it("lead to their route, in each form in which callers send them", async () => {
            // Failure: a route that was added is acknowledged, and requests for it get 404.
            const routes = [
                makeRoute({ name: "host", host: "Bücher.example", pathPrefix: "/" }),
                makeRoute({ name: "path", pathPrefix: "/café/" }),
                makeRoute({ name: "rest", pathPrefix: "/" }),
            ];
            await startFleet(makeDocument({ routes }));
            for (const host of ["bücher.example", "BÜCHER.example:80", "xn--bcher-kva.example"]) {
                assert.equal((await call(KEY, "/1", host)).status, 200, host);
            }
            const bytes = Buffer.from("/café/1").toString("latin1");
            for (const path of [bytes, "/caf\xe9/1", "/caf%C3%A9/1", "/caf%c3%a9/1"]) {
                assert.equal((await call(KEY, path)).status, 200, path);
            }
            assert.equal((await call(KEY, "/1", "other.example")).status, 404);
        });
    });

    describe("upstreams", () => {
        it("are addressed by their ids as they are", async () => {
            // Failure: an upstream is announced and granted, and no request can be sent to it.
            await startFleet(makeDocument(), { upstreams: [{ id: "máy-chủ-1" }] });
            assert.equal((await call(KEY)).status, 200);
        });
    });
});
