import assert from "node:assert/strict";
import { request } from "node:http";
import { AddressInfo, createServer, Server, Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { Address } from "../network/index.js";
import { ConnectionPool } from "./index.js";

const HOST = "127.0.0.1";
const IDLE_MS = 5_000;
const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

describe("ConnectionPool", () => {
    let server: Server;
    let address: Address;
    let pool: ConnectionPool;
    let opened = 0;

    beforeEach(async () => {
        opened = 0;
        server = createServer(socket => {
            opened++;
            socket.on("error", () => undefined);
            socket.on("data", () => socket.write(ANSWER));
        });
        await new Promise<void>(resolve => server.listen(0, HOST, resolve));
        address = { host: HOST, port: (server.address() as AddressInfo).port };
        pool = new ConnectionPool(IDLE_MS);
    });

    afterEach(async () => {
        pool.destroy();
        await new Promise(resolve => server.close(resolve));
    });

    /** Sends a request, and waits until its connection is idle. */
    async function send(): Promise<void> {
        pool.removeDestroyed(address);
        await new Promise<void>((resolve, reject) => {
            const req = request({ ...address, agent: pool }, res => res.resume().once("close", resolve));
            req.once("error", reject);
            req.end();
        });
        await nextTurn();
    }

    function listIdle(): Socket[] {
        return Object.values(pool.freeSockets).flatMap(sockets => sockets ?? []);
    }

    it("reuses a connection", async () => {
        for (let number = 0; number < 3; number++) await send();
        assert.equal(opened, 1);
    });

    it("hands out no connection that has just been destroyed", async () => {
        // The request would fail on it, and count as sent.
        await Promise.all([send(), send()]);
        listIdle().at(-1)!.destroy();
        await send();
        assert.equal(opened, 2);
    });
});
