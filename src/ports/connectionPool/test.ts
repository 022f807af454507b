import assert from "node:assert/strict";
import { request } from "node:http";
import { AddressInfo, createServer, Server, Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { ConnectionHistory } from "../connectionHistory/index.js";
import { Address } from "../network/index.js";
import { ConnectionPool } from "./index.js";

const HOST = "127.0.0.1";
const IDLE_MS = 5_000;
const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

describe("ConnectionPool", () => {
    let server: Server;
    let address: Address;
    let pool: ConnectionPool;
    let history: ConnectionHistory<Socket>;
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
        history = new ConnectionHistory();
        pool = new ConnectionPool(IDLE_MS, history);
    });

    afterEach(async () => {
        pool.destroy();
        await new Promise(resolve => server.close(resolve));
    });

    /** Sends a request, and waits until its connection is idle. */
    async function send(id: string): Promise<void> {
        pool.closeUnfit(address, id);
        await new Promise<void>((resolve, reject) => {
            const req = request({ ...address, agent: pool }, res => res.resume().once("close", resolve));
            req.once("socket", socket => history.record(socket, id));
            req.once("error", reject);
            req.end();
        });
        await nextTurn();
    }

    function listIdle(): Socket[] {
        return Object.values(pool.freeSockets).flatMap(sockets => sockets ?? []);
    }

    it("reuses a connection for requests with other ids", async () => {
        for (const id of ["a", "b", "c"]) await send(id);
        assert.equal(opened, 1);
    });

    it("sends no request on a connection that has carried one with its id", async () => {
        // A late second answer to the earlier one would be read as its answer.
        for (const id of ["a", "b", "a"]) await send(id);
        assert.equal(opened, 2);
    });

    it("hands out no connection that has just been destroyed", async () => {
        // The request would fail on it, and count as sent.
        await Promise.all([send("a"), send("b")]);
        listIdle().at(-1)!.destroy();
        await send("c");
        assert.equal(opened, 2);
    });

    it("closes a connection once it has carried as many ids as are recorded", async () => {
        // An id that is forgotten would no longer keep its connection from being used for it again.
        for (let number = 0; opened < 2; number++) {
            assert.ok(number < 1_000);
            await send(`id-${number}`);
        }
    });
});
