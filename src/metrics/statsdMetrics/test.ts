import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { describe, it } from "node:test";
import { StatsdMetrics } from "./index.js";

async function receivePackets(send: (port: number) => Promise<void>): Promise<string> {
    const socket = createSocket("udp4");
    const packets: string[] = [];
    const arrived = new Promise<void>(resolve =>
        socket.on("message", bytes => {
            packets.push(bytes.toString());
            resolve();
        })
    );
    await new Promise<void>(resolve => socket.bind(0, "127.0.0.1", resolve));
    await send(socket.address().port);
    await arrived;
    socket.close();
    return packets.join("\n");
}

describe("StatsdMetrics", () => {
    it("sends metrics with their tags, and keeps histograms", async () => {
        const text = await receivePackets(async port => {
            const metrics = new StatsdMetrics({
                address: { host: "127.0.0.1", port },
                prefix: "sequoiamux.",
                tags: { host: "vogar-1" },
                maxSeries: 10,
                onError: err => assert.fail(err),
            });
            metrics.count("answered", 2, { class: "sheets" });
            metrics.gauge("queued", 7);
            metrics.histogram("wait_ms", 12, { class: "sheets" });
            assert.equal(metrics.listHistograms()[0].count, 1);
            await metrics.close();
        });
        assert.match(text, /sequoiamux\.answered:2\|c\|#.*class:sheets/);
        assert.match(text, /sequoiamux\.queued:7\|g\|#host:vogar-1/);
        assert.match(text, /sequoiamux\.wait_ms:12\|h\|#/);
    });

    it("keeps histograms without an address", async () => {
        const metrics = new StatsdMetrics({
            address: undefined,
            prefix: "",
            tags: {},
            maxSeries: 10,
            onError: assert.fail,
        });
        metrics.histogram("wait_ms", 3);
        assert.equal(metrics.listHistograms()[0].p50, 3);
        await metrics.close();
    });
});
