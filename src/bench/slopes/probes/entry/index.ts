import { DEFAULT_LOG_TIMING } from "../../../../consensus/index.js";
import { ControlProcess, NoProvisioning } from "../../../../control/index.js";
import { DEFAULT_ENTRY_LIMITS, EntryProcess } from "../../../../entry/index.js";
import {
    ChangeId,
    ClassName,
    HostId,
    Incarnation,
    KeyId,
    TemplateName,
    WorkspaceId,
    ZoneId,
} from "../../../../ids/index.js";
import { Lifecycle } from "../../../../lifecycle/index.js";
import { SilentLogger } from "../../../../logging/index.js";
import { NoMetrics } from "../../../../metrics/index.js";
import {
    Address,
    DEFAULT_HTTP_LIMITS,
    FileDisk,
    NodeHttp,
    SystemClock,
    SystemRandom,
    TcpNetwork,
} from "../../../../ports/index.js";
import { CALLER_PATHS, ENGINE_PATHS } from "../../../../protocol/index.js";
import { DEFAULT_PEER_TIMING } from "../../../../wire/index.js";
import { ConfigChange, hashKey } from "../../../../workspace/index.js";
import { heapBytes, timeProcess } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";
import { countBytes, EmulatedEngine } from "./emulatedEngine.js";

const REQUEST_RATES = [10, 20, 40, 80];
const TOKEN_COUNTS = [10, 40, 80, 160];
const TOKEN_REQUEST_RATE = 20;
const STREAM_COUNTS = [50, 100, 200, 400];
const ROUNDS = 3;
const RUN_MS = 1_000;
const INTERVAL_MS = 25;
const FAST_TOKEN_MS = 2;
const SLOW_TOKEN_MS = 1_500;
const LEASE_POLL_MS = 20;
const LONG_TIMEOUT_MS = 60_000;
const VIEW_LEASE_MS = 3_000;
const WINDOW_MS = 60_000;
const API_KEY = `sqx_${"5e".repeat(16)}`;
const LOOPBACK = "127.0.0.1";

const clock = new SystemClock();
const random = new SystemRandom();
const http = new NodeHttp();
const logger = new SilentLogger();
const network = new TcpNetwork();

/**
 * Measures an entry with one control voter, over loopback TCP in this process: the cost of requests, tokens and open streams
 * compared to direct calls of the same emulated engine. The values of requests and tokens are differences and include the
 * voter's work; streams are recorded for both routes.
 */
export class EntryProbe extends Probe {
    readonly name = "entry";

    async run(recorder: SlopeRecorder): Promise<void> {
        const lifecycle = new Lifecycle();
        const emulatedEngine = new EmulatedEngine(clock, http);
        await emulatedEngine.start();
        lifecycle.addCleanUp(() => emulatedEngine.close());
        const entry = await startFleet(emulatedEngine, lifecycle);
        const routes: Routes = { entry: entry.callerAddress!, direct: emulatedEngine.address, emulatedEngine };
        await sendAtRate(routes, "entry", REQUEST_RATES[0]);
        await measureRequests(routes, recorder);
        await measureTokens(routes, recorder);
        await measureStreams(routes, recorder);
        await lifecycle.close();
    }
}

type Route = "entry" | "direct";

interface Routes {
    readonly entry: Address;
    readonly direct: Address;
    readonly emulatedEngine: EmulatedEngine;
}

async function measureRequests(routes: Routes, recorder: SlopeRecorder): Promise<void> {
    routes.emulatedEngine.pace = { tokens: 1, tokenMs: FAST_TOKEN_MS };
    for (const rate of REQUEST_RATES) {
        for (let round = 0; round < ROUNDS; round++) {
            recorder.add("entry.request.processor", rate, await measureAddedProcessorMs(routes, rate));
        }
    }
}

async function measureTokens(routes: Routes, recorder: SlopeRecorder): Promise<void> {
    for (const tokens of TOKEN_COUNTS) {
        routes.emulatedEngine.pace = { tokens, tokenMs: FAST_TOKEN_MS };
        for (let round = 0; round < ROUNDS; round++) {
            recorder.add(
                "entry.token.processor",
                tokens * TOKEN_REQUEST_RATE,
                await measureAddedProcessorMs(routes, TOKEN_REQUEST_RATE),
            );
        }
    }
}

async function measureStreams(routes: Routes, recorder: SlopeRecorder): Promise<void> {
    routes.emulatedEngine.pace = { tokens: 2, tokenMs: SLOW_TOKEN_MS };
    for (const count of STREAM_COUNTS) {
        for (const route of ["direct", "entry"] as const) {
            const before = heapBytes();
            const open = Array.from({ length: count }, () => send(routes, route));
            await clock.sleep(RUN_MS);
            recorder.add(`stream.${route}.heap`, count, heapBytes() - before);
            await Promise.all(open);
        }
    }
}

/** Returns the processor time that the route via the entry takes beyond the direct one, in milliseconds per second. */
async function measureAddedProcessorMs(routes: Routes, rate: number): Promise<number> {
    const direct = await timeProcess(() => sendAtRate(routes, "direct", rate));
    const viaEntry = await timeProcess(() => sendAtRate(routes, "entry", rate));
    return (viaEntry.processorMs - direct.processorMs) / RUN_MS * 1_000;
}

async function sendAtRate(routes: Routes, route: Route, rate: number): Promise<void> {
    const intervals = RUN_MS / INTERVAL_MS;
    const answers: Promise<void>[] = [];
    for (let interval = 0; interval < intervals; interval++) {
        const due = Math.round(rate * (interval + 1) / intervals);
        while (answers.length < due) answers.push(send(routes, route));
        await clock.sleep(INTERVAL_MS);
    }
    await Promise.all(answers);
}

async function send(routes: Routes, route: Route): Promise<void> {
    const body = {
        model: "general-70b",
        messages: [{ role: "user", content: "Which cuts suit a slow roast for twelve?" }],
        stream: true,
        max_tokens: 512,
        request_id: "r",
    };
    const reply = await http.send({
        address: routes[route],
        method: "POST",
        path: route === "entry" ? CALLER_PATHS.chat : ENGINE_PATHS.chat,
        headers: [["authorization", `Bearer ${API_KEY}`], ["content-type", "application/json"]],
        body: Buffer.from(JSON.stringify(body)),
        newConnection: false,
        connectTimeoutMs: LONG_TIMEOUT_MS,
        headTimeoutMs: LONG_TIMEOUT_MS,
    });
    const { status, body: answer } = reply.unsafeCoerce();
    const size = await countBytes(answer);
    if (status !== 200 || size === 0) throw new Error(`status ${status}`);
}

async function startFleet(emulatedEngine: EmulatedEngine, lifecycle: Lifecycle): Promise<EntryProcess> {
    const ports = { clock, random, network, http, logger, timing: DEFAULT_PEER_TIMING, windowMs: WINDOW_MS };
    const controlPeers = await findFreeAddress();
    const control = await startControl(ports, controlPeers);
    lifecycle.addCleanUp(() => control.close());
    await grantKey(control);
    const upstreams = await findFreeAddress();
    const entry = await EntryProcess.start({
        ...ports,
        upstreams,
        metrics: new NoMetrics(),
        self: { host: "entry-1" as HostId, incarnation: "1" as Incarnation },
        zone: "north-2" as ZoneId,
        region: "north",
        callers: { host: LOOPBACK, port: 0 },
        peers: await findFreeAddress(),
        admin: await findFreeAddress(),
        controlPeers: [controlPeers],
        callerLimits: DEFAULT_HTTP_LIMITS,
        limits: DEFAULT_ENTRY_LIMITS,
        balancerMs: 0,
    });
    lifecycle.addCleanUp(() => entry.close());
    lifecycle.run(signal => emulatedEngine.announce(upstreams, signal), () => undefined);
    await clock.sleep(RUN_MS);
    return entry;
}

type FleetPorts = Pick<
    Parameters<typeof EntryProcess.start>[0],
    "clock" | "random" | "network" | "http" | "logger" | "timing" | "windowMs"
>;

async function startControl(ports: FleetPorts, peers: Address): Promise<ControlProcess> {
    const host = "control-1" as HostId;
    const disk = new FileDisk(`data/slopes/${random.id()}`);
    await disk.makeFolder("");
    const control = await ControlProcess.start({
        ...ports,
        disk,
        peerAddress: peers,
        self: { host, incarnation: "1" as Incarnation },
        members: [{ host, address: peers }],
        logTiming: DEFAULT_LOG_TIMING,
        viewLeaseMs: VIEW_LEASE_MS,
        windowGraceMs: WINDOW_MS,
        platform: {
            address: peers,
            checksFence: true,
            purchasePolicy: new NoProvisioning(),
            purchasePeriodMs: LONG_TIMEOUT_MS,
        },
    });
    while (!control.log.holdsLease()) await clock.sleep(LEASE_POLL_MS);
    return control;
}

async function grantKey(control: ControlProcess): Promise<void> {
    const name = "template-1" as TemplateName;
    const workspace = "workspace-1" as WorkspaceId;
    const spec = {
        parameters: [],
        weight: 1,
        classes: [{
            name: "c",
            tier: 0,
            firstTokenMs: LONG_TIMEOUT_MS,
            tokenMs: LONG_TIMEOUT_MS,
            maxWaitMs: LONG_TIMEOUT_MS,
            guaranteedShare: 0,
        }],
        defaultClass: "c" as ClassName,
        pools: [],
        nonRepeatable: [],
    };
    const makeAuthorship = (id: string) => ({ operator: "operator-1", changeId: id as ChangeId });
    const changes: readonly ConfigChange[] = [
        { kind: "template.put", name, spec, base: 0, ...makeAuthorship("1") },
        { kind: "workspace.create", id: workspace, template: name, parameters: [], ...makeAuthorship("2") },
        { kind: "key.grant", workspace, keyId: "key-1" as KeyId, hash: hashKey(API_KEY), ...makeAuthorship("3") },
    ];
    for (const change of changes) (await control.log.propose(change)).unsafeCoerce();
}

async function findFreeAddress(): Promise<Address> {
    const listener = await network.listen({ host: LOOPBACK, port: 0 }, () => undefined);
    await listener.close();
    return listener.address;
}
