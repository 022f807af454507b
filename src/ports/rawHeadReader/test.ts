import assert from "node:assert/strict";
import { Socket } from "node:net";
import { describe, it } from "node:test";
import { RawHeadReader } from "./index.js";

const HEAD = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n";

function receive(socket: Socket, text: string): void {
    socket.emit("data", Buffer.from(text, "latin1"));
}

describe("RawHeadReader", () => {
    it("has the head by the time that listeners before it are called", () => {
        // Failure: Node's parser reports a response whose head has not been checked.
        const socket = new Socket();
        const seen: unknown[] = [];
        socket.on("data", () => seen.push(reader.head));
        const reader = new RawHeadReader(socket, assert.fail);
        receive(socket, HEAD.slice(0, 20));
        receive(socket, `${HEAD.slice(20)}body`);
        assert.deepEqual(seen, [undefined, { status: 200, headers: [["x-a", "b"]], lines: ["X-A: b"] }]);
    });

    it("reports bytes that are no response once", () => {
        const socket = new Socket();
        const faults: string[] = [];
        const reader = new RawHeadReader(socket, detail => faults.push(detail));
        receive(socket, "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n");
        receive(socket, HEAD);
        assert.deepEqual([faults, reader.head], [["an invalid header field"], undefined]);
    });

    for (const [name, text] of [["a head", HEAD], ["bytes that are no response", "SSH-2.0-x\r\n\r\n"]] as const) {
        it(`leaves no listener for data behind ${name}`, () => {
            // Failure: a kept connection gets slower and holds more memory with each request.
            const socket = new Socket();
            new RawHeadReader(socket, () => undefined);
            receive(socket, text);
            assert.equal(socket.listenerCount("data"), 0);
        });
    }

    it("lets a connection fail that no one else listens to any more", () => {
        // Failure: an error without a listener ends the process, where the same bytes change the protocol.
        const socket = new Socket();
        new RawHeadReader(socket, () => undefined);
        receive(socket, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n");
        assert.doesNotThrow(() => socket.emit("error", new Error("closed")));
    });
});
