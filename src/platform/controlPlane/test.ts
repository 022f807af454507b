import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet } from "../../faultInjection/index.js";
import { UpstreamId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { DEFAULT_HTTP_LIMITS } from "../../ports/index.js";
import { makeDocument } from "../../routing/index.js";
import { serveControlPlane } from "./index.js";

const CONTROL = { host: "10.0.0.1", port: 8300 };
const OPERATOR_HOST = "10.0.8.2";

describe("serveControlPlane", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    async function startFleet(): Promise<RoutedFleet> {
        const running = new RoutedFleet({ entries: 1, upstreams: [{}], zones: ["vogar", "keflavik"] });
        fleet.running = running;
        await running.start(makeDocument());
        const handler = serveControlPlane(running.controls[0]!.routing!, new SilentLogger());
        await running.web.http(CONTROL.host).serve(CONTROL, DEFAULT_HTTP_LIMITS, handler);
        return running;
    }

    async function post(running: RoutedFleet, path: string, body?: object): Promise<number> {
        const sent = running.web.http(OPERATOR_HOST).send({
            address: CONTROL,
            method: "POST",
            path,
            headers: [],
            body: Buffer.from(body ? JSON.stringify(body) : ""),
            newConnection: true,
            connectTimeoutMs: 1_000,
            headTimeoutMs: 1_000,
        });
        return (await running.run(sent)).map(({ status }) => status).orDefault(0);
    }

    afterEach(() => fleet.running?.close());

    it("evacuates and restores a zone", async () => {
        const running = await startFleet();
        const listEvacuated = async () => {
            const read = await running.run(running.controls[0]!.routing!.zones.read());
            return read.unsafeCoerce().map(({ zone }) => zone);
        };
        assert.equal(await post(running, "/evacuations/vogar/begin"), 200);
        assert.deepEqual(await listEvacuated(), ["vogar"]);
        assert.equal(await post(running, "/evacuations/vogar/begin"), 200);
        assert.equal(await post(running, "/evacuations/vogar/finish"), 200);
        assert.deepEqual(await listEvacuated(), []);
    });

    it("answers 404 for an unknown zone or step", async () => {
        const running = await startFleet();
        assert.equal(await post(running, "/evacuations/nowhere/begin"), 404);
        assert.equal(await post(running, "/evacuations/vogar/pause"), 404);
    });

    it("answers 503 when no majority can store the order", async () => {
        const running = await startFleet();
        for (const number of [1, 2, 3, 4]) await running.killControl(number);
        await running.advance(3_000);
        assert.equal(await post(running, "/evacuations/vogar/begin"), 503);
    });

    describe("ids of engines in paths", () => {
        const heartbeat = {
            service: "ledger",
            zone: "vogar",
            version: "v1",
            slots: 2,
            state: "ready",
            sequence: 1,
            born: 1,
        };

        it("are read as they are, in bytes or percent-encoded", async () => {
            // Failure: an engine gets a 500 for its heartbeat, or is known by another id than its own.
            const running = await startFleet();
            const ids = ["m\u00e1y-1", "100%", "a b", "%E0%A4"];
            const paths = [Buffer.from(ids[0]).toString("latin1"), ids[1], "a%20b", ids[3]];
            for (const [number, path] of paths.entries()) {
                const body = { ...heartbeat, address: `10.0.7.${number + 1}:80` };
                assert.equal(await post(running, `/instances/${path}/heartbeat`, body), 200, path);
                assert.equal(await post(running, `/instances/${path}/deregister`), 200, path);
            }
            const { registry } = running.controls[0]!.routing!;
            assert.deepEqual(ids.map(id => registry.get(id as UpstreamId)?.announcement.id), ids);
        });

        it("are refused where a header can't hold them", async () => {
            const running = await startFleet();
            const body = { ...heartbeat, address: "10.0.7.1:80" };
            assert.equal(await post(running, "/instances/i%0d%0ax:%201/heartbeat", body), 400);
        });
    });
});
