import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { DaemonPorts } from "../../daemon/index.js";
import { HostId, Incarnation } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import { Address, Connection, NodeHttp, SystemClock, SystemRandom, TcpNetwork } from "../../ports/index.js";
import { findFreePorts, ScratchFolder } from "../../tools/index.js";
import { parseNodeFile } from "../nodeFile/index.js";
import { readNodeSettings } from "../nodeSettings/index.js";
import { ControlNode, runControlNode } from "./index.js";

const LOOPBACK = "127.0.0.1";
const CONNECT_TIMEOUT_MS = 10_000;
const RETRY_MS = 20;
/** Aborts a test that hangs. */
const TEST_TIMEOUT = { timeout: 60_000 };

describe("the stop of a control process", () => {
    const network = new TcpNetwork();
    const clock = new SystemClock();
    let scratch: ScratchFolder;
    let address: Address;
    let node: ControlNode;

    before(async () => {
        scratch = await ScratchFolder.make();
        const [peers, control] = await findFreePorts(2);
        address = { host: LOOPBACK, port: control };
        const file = [
            "nodeName = control-1",
            "zone = vogar",
            "region = sudurnes",
            `ip = ${LOOPBACK}`,
            `internalPorts = ${peers},${peers + 1},${peers + 2}`,
            `seeds = ${LOOPBACK}:${control}`,
            `listen.controlPlane = ${LOOPBACK}:${control}`,
            `dataDir = ${scratch.path}/data`,
            "firstStart = true",
            "faultTolerance.machines = 0",
            "bounds.graceS = 40",
        ].join("\n");
        const settings = readNodeSettings(parseNodeFile(file)).unsafeCoerce();
        node = await runControlNode(makePorts(), settings);
    });

    after(async () => {
        await node.lifecycle.close();
        await scratch.remove();
    });

    function makePorts(): DaemonPorts {
        return {
            clock,
            network,
            random: new SystemRandom(),
            http: new NodeHttp(),
            logger: new SilentLogger(),
            metrics: new NoMetrics(),
            self: { host: "control-1" as HostId, incarnation: "i" as Incarnation },
            histograms: { list: () => [] },
            flushMetrics: async () => undefined,
            requestStop: () => undefined,
        };
    }

    async function connect(): Promise<Connection | undefined> {
        return (await network.connect(address, CONNECT_TIMEOUT_MS)).toMaybe().extract();
    }

    /** Resolves once connections are refused, or the signal is aborted. */
    async function awaitRefusal(signal: AbortSignal): Promise<void> {
        for (let connection = await connect(); connection && !signal.aborted; connection = await connect()) {
            connection.reset();
            await clock.sleep(RETRY_MS, signal);
        }
    }

    async function readToEnd(connection: Connection): Promise<string> {
        let text = "";
        for (let chunk = await connection.receive(); chunk; chunk = await connection.receive()) {
            text += Buffer.from(chunk).toString();
        }
        return text;
    }

    it("answers a request whose body is still arriving", TEST_TIMEOUT, async () => {
        // Failure: an operator's connection is closed without an answer, so that it can't tell whether its change is in force.
        const operator = (await connect())!;
        operator.send(Buffer.from("POST /config/replace HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{"));
        const drained = node.drain();
        const over = new AbortController();
        const refused = awaitRefusal(over.signal).then(() => "stopped accepting");
        const first = await Promise.race([drained.then(() => "drained"), refused]);
        over.abort();
        operator.send(Buffer.from("}"));
        assert.equal(first, "stopped accepting");
        assert.match(await readToEnd(operator), /^HTTP\/1.1 400 /);
        await drained;
    });
});
