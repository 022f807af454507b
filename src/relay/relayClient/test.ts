import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { NoSendGuard } from "../../dispatch/index.js";
import { HostId, PoolId, UpstreamId, ZoneId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import {
    Connection,
    DEFAULT_HTTP_LIMITS,
    HttpError,
    Listener,
    NodeHttp,
    readReplyText,
    SeededRandom,
    SystemClock,
    TcpNetwork,
} from "../../ports/index.js";
import { makeAnnouncement, NO_SIGNALS, UpstreamCall, UpstreamRegistry } from "../../upstream/index.js";
import { RelayHost } from "../relayDirectory/index.js";
import { RelayPicker } from "../relayPicker/index.js";
import { UpstreamAccess } from "../upstreamAccess/index.js";
import { RelayClient } from "./index.js";

const LOOPBACK = "127.0.0.1";
const HEAD_END = "\r\n\r\n";
/** Size of an answer that fills all buffers between an upstream and a host that does not read. */
const LARGE_BYTES = 32 * 1024 * 1024;
const HALF_SECOND_MS = 500;

/** What an upstream does with a request that has come. */
type UpstreamScript = (connection: Connection) => Promise<void> | void;

describe("RelayClient, over TCP", () => {
    const clock = new SystemClock();
    const listeners: Listener[] = [];
    const connections: Connection[] = [];

    /** Starts an upstream and a host that relays to it; returns a client of that host. */
    async function start(script: UpstreamScript): Promise<{ client: RelayClient; call: UpstreamCall; }> {
        const upstream = await new TcpNetwork().listen({ host: LOOPBACK, port: 0 }, async connection => {
            connections.push(connection);
            if (await connection.receive()) await script(connection);
        });
        listeners.push(upstream);
        const { port } = upstream.address;
        const registry = new UpstreamRegistry({ clock });
        registry.announce(makeAnnouncement({ id: "u0", incarnation: 1, address: `${LOOPBACK}:${port}` }));
        const ports = {
            clock,
            random: new SeededRandom(1),
            network: new TcpNetwork(),
            http: new NodeHttp(),
            logger: new SilentLogger(),
            metrics: new NoMetrics(),
        };
        const relays: RelayHost[] = [];
        const directory = { listRelays: () => relays, isMember: (ip: string) => ip === LOOPBACK };
        const self = "host-1" as HostId;
        const zone = "vogar" as ZoneId;
        const sendGuard = new NoSendGuard();
        const readSignals = () => NO_SIGNALS;
        const { relays: { handler } } = new UpstreamAccess({
            ...ports,
            self,
            zone,
            registry,
            directory,
            sendGuard,
            readSignals,
        });
        const listener = await ports.http.serve({ host: LOOPBACK, port: 0 }, DEFAULT_HTTP_LIMITS, handler);
        listeners.push(listener);
        relays.push({ host: self, zone, address: listener.address });
        const picker = new RelayPicker({ ...ports, directory, zone });
        const client = new RelayClient({ ...ports, self: "host-0" as HostId, picker, zoneOf: () => zone });
        return { client, call: makeCall(port) };
    }

    function makeCall(port: number): UpstreamCall {
        return {
            target: {
                pool: "draft" as PoolId,
                upstream: "u0" as UpstreamId,
                incarnation: 1,
                address: { host: LOOPBACK, port },
            },
            method: "GET",
            path: "/",
            headers: [],
            newConnection: false,
            connectTimeoutMs: 1_000,
            headTimeoutMs: 5_000,
        };
    }

    function answerWith(...parts: string[]): UpstreamScript {
        return connection => connection.send(Buffer.from(parts.join("")));
    }

    async function readSent(client: RelayClient, call: UpstreamCall): Promise<string> {
        return readReplyText((await client.send(call, clock.monotonic())).unsafeCoerce());
    }

    afterEach(async () => {
        connections.length = 0;
        await Promise.all(listeners.splice(0).map(listener => listener.close()));
    });

    describe("an upstream's answer", () => {
        it("arrives whole, with its own headers and none of the relay's", async () => {
            const head = `HTTP/1.1 201 Created\r\nX-Mark: 1\r\nX-Mark: 2\r\nContent-Length: 6${HEAD_END}`;
            const { client, call } = await start(answerWith(head, "answer"));
            const reply = (await client.send(call, clock.monotonic())).unsafeCoerce();
            assert.equal(reply.status, 201);
            assert.deepEqual(reply.headers, [["x-mark", "1"], ["x-mark", "2"], ["content-length", "6"]]);
            assert.equal(await readReplyText(reply), "answer");
        });

        it("is complete without a length when its connection is closed", async () => {
            const { client, call } = await start(connection => {
                connection.send(Buffer.from(`HTTP/1.1 200 OK\r\nConnection: close${HEAD_END}answer`));
                connection.close();
            });
            assert.equal(await readSent(client, call), "answer");
        });

        it("is not complete without a length when its connection is reset", async () => {
            const { client, call } = await start(async connection => {
                connection.send(Buffer.from(`HTTP/1.1 200 OK\r\nConnection: close${HEAD_END}ans`));
                await clock.sleep(50);
                connection.reset();
            });
            await assert.rejects(readSent(client, call), HttpError);
        });

        it("is not complete where it is shorter than its length", async () => {
            const head = `HTTP/1.1 200 OK\r\nContent-Length: 100${HEAD_END}`;
            const { client, call } = await start(connection => {
                connection.send(Buffer.from(`${head}answer`));
                connection.close();
            });
            await assert.rejects(readSent(client, call), HttpError);
        });

        it("is lost where its connection ends before its head", async () => {
            const { client, call } = await start(connection => connection.reset());
            const err = (await client.send(call, clock.monotonic())).swap().unsafeCoerce();
            assert.deepEqual([err.reason, err.mayHaveBeenSent], ["closed", true]);
        });
    });

    it("ends the upstream's connection within half a second when its caller leaves", async () => {
        const head = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked${HEAD_END}`;
        const { client, call } = await start(answerWith(head, "3\r\nans\r\n"));
        const caller = new AbortController();
        const sent = await client.send({ ...call, signal: caller.signal }, clock.monotonic());
        await sent.unsafeCoerce().body[Symbol.asyncIterator]().next();
        const leftAt = clock.monotonic();
        caller.abort();
        assert.equal(await connections[0].receive(), undefined);
        assert.ok(clock.monotonic() - leftAt < HALF_SECOND_MS);
        // A socket that is reset while it is being closed never frees its handle, and the test would not end.
        await clock.sleep(50);
    });

    it("does not let a slow reader hold up other requests", async () => {
        const { client, call } = await start(connection => {
            const size = connections.length === 1 ? LARGE_BYTES : 6;
            connection.send(Buffer.from(`HTTP/1.1 200 OK\r\nContent-Length: ${size}${HEAD_END}`));
            connection.send(Buffer.alloc(size, "a"));
        });
        const unread = (await client.send(call, clock.monotonic())).unsafeCoerce();
        assert.equal(await readSent(client, { ...call, newConnection: true }), "aaaaaa");
        assert.ok(connections[0].pendingBytes() > 0, "the relay reads no faster than its peer");
        unread.reset();
    });
});
