import assert from "node:assert/strict";
import { AddressInfo, createServer } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { TcpNetwork } from "./index.js";

/** Time after which a connection counts as left open, in milliseconds. */
const MAX_WAIT_MS = 10_000;
const POLL_MS = 10;

function countSockets(): number {
    return process.getActiveResourcesInfo().filter(name => name === "TCPSocketWrap").length;
}

describe("TcpNetwork", () => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.end("bye");
    });

    before(() => new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve)));

    after(() => server.close());

    it("closes a connection that is reset as soon as the other end has closed it", async () => {
        // Failure: the descriptor is left for good: Node can't reset a connection while it is closing its own direction.
        const { port } = server.address() as AddressInfo;
        const connection = (await new TcpNetwork().connect({ host: "127.0.0.1", port }, MAX_WAIT_MS)).unsafeCoerce();
        assert.equal(Buffer.from((await connection.receive())!).toString(), "bye");
        assert.equal(await connection.receive(), undefined);
        connection.reset();
        for (let waitedMs = 0; waitedMs < MAX_WAIT_MS && countSockets() > 0; waitedMs += POLL_MS) await sleep(POLL_MS);
        assert.equal(countSockets(), 0);
    });
});
