import { Agent } from "node:http";
import { TraceHeader } from "../../../load/index.js";
import { CALL_HEADERS } from "../../../passthrough/index.js";
import { Address, SystemRandom } from "../../../ports/index.js";
import { deployTrace } from "../../deployTrace/index.js";
import { CallAnswer, exchangeCall } from "../../exchangeCall/index.js";
import { Program, waitFor } from "../../processes/index.js";
import { RoutedProcessFleet } from "../../routedProcesses/index.js";

/** Host header of all routes. */
export const CROWD_HOST = "orders.example";
/** Path of the calls that a crowd sends; their upstream works for seconds. */
export const BULK_PATH = "/bulk/1";
/** Path of ordinary calls. */
export const ORDINARY_PATH = "/orders/1";
/** The largest body of the document, in bytes. */
export const BODY_LIMIT_BYTES = 4 * 1024 * 1024;

/** The memory of the smallest host that runs each process, in MB. */
export const MEMORY_MB = { entry: 178, control: 346 } as const;
/** The descriptors that each process may have open: fewer than on any host, so that a small crowd takes them all. */
export const DESCRIPTORS = 400;

const HEAP_MB = { entry: 96, control: 160 } as const;
const ROUTE_TIMEOUT_MS = 20_000;
const BULK_WORK_MS = 4_000;
const ORDINARY_WORK_MS = 10;
const GIVE_UP_MS = 30_000;
const START_LIMIT_MS = 20_000;
const WORKSPACE = "depot";

/**
 * One entry and one control process with the limits of a small host, and two emulated upstreams. `close` ends every process it started.
 *
 * @example
 * const fleet = await CrowdFleet.start();
 * assert.equal((await fleet.callOrdinary())?.status, 200);
 */
export class CrowdFleet {
    private sentCount = 0;

    private constructor(private readonly fleet: RoutedProcessFleet, readonly key: string) {}

    /** Starts all processes, and waits until an ordinary call is answered. */
    static async start(): Promise<CrowdFleet> {
        const limits = { entry: formatLimits("entry"), control: formatLimits("control") };
        const plan = { entries: 1, controls: 1, limits, heapMb: HEAP_MB };
        const processes = await RoutedProcessFleet.start(plan, [
            { pool: "bulk", workMs: BULK_WORK_MS, events: 0, gapMs: 0, eventPadding: 0 },
            { pool: "orders", workMs: ORDINARY_WORK_MS, events: 0, gapMs: 0, eventPadding: 0 },
        ]);
        try {
            await processes.applyDocument(makeDocument());
            const keys = await deployTrace(processes.api, new SystemRandom(), TRACE_HEADER);
            const fleet = new CrowdFleet(processes, keys.get(WORKSPACE)!);
            const isAnswered = await waitFor(
                async () => (await fleet.callOrdinary())?.status === 200 || undefined,
                START_LIMIT_MS,
            );
            if (!isAnswered) throw new Error("an ordinary call is not answered before the crowd has come");
            return fleet;
        }
        catch (err) {
            await processes.close();
            throw err;
        }
    }

    get entry(): Program {
        return this.fleet.processes.entries[0];
    }

    get control(): Program {
        return this.fleet.processes.controls[0];
    }

    /** Address at which the entry serves routed calls. */
    get routes(): Address {
        return this.fleet.processes.routeAddresses[0];
    }

    /** Address at which the entry serves chats. */
    get callers(): Address {
        return this.fleet.processes.callerAddresses[0];
    }

    /** Address of the entry's admin API. */
    get admin(): Address {
        return { ...this.routes, port: this.fleet.processes.entryPorts[0].admin };
    }

    /** Address at which upstreams announce themselves to the entry. */
    get announcements(): Address {
        return { ...this.routes, port: this.fleet.processes.entryPorts[0].upstreams };
    }

    /** Address at which operators call the control process. */
    get operators(): Address {
        return this.fleet.processes.operatorAddresses[0];
    }

    /** Address at which upstreams announce themselves to the control process. */
    get controlAnnouncements(): Address {
        return this.fleet.processes.announcementAddresses[0];
    }

    /** Sends one small call on a connection of its own. */
    async callOrdinary(): Promise<CallAnswer | undefined> {
        const agent = new Agent();
        const request = `ordinary-${++this.sentCount}`;
        const headers = { host: CROWD_HOST, [CALL_HEADERS.request]: request };
        const call = { agent, address: this.routes, path: ORDINARY_PATH, headers, body: request };
        const answer = await exchangeCall({ ...call, giveUpMs: GIVE_UP_MS });
        agent.destroy();
        return answer;
    }

    close(): Promise<void> {
        return this.fleet.close();
    }
}

const TRACE_HEADER: TraceHeader = {
    version: 1,
    name: "crowds",
    zones: ["keflavik"],
    models: ["writer"],
    services: [],
    classes: [
        { name: "sheet", tier: 0, first_token_ms: 1_000, token_ms: 50, max_wait_ms: 5_000, guaranteed_share: 0 },
    ],
    workspaces: [{ name: WORKSPACE, weight: 1 }],
    bounds: { attainment: {}, worst_workspace: 0, lost: 0, doubled: 0 },
    emulator: {},
};

function formatLimits(role: keyof typeof MEMORY_MB): Record<string, string> {
    return { memory_mb: String(MEMORY_MB[role]), descriptors: String(DESCRIPTORS) };
}

function makeDocument(): object {
    return {
        version: 1,
        routes: ["bulk", "orders"].map(pool => ({
            name: pool,
            attempts: 2,
            host: CROWD_HOST,
            pathPrefix: `/${pool}/`,
            kind: "idempotent",
            timeoutMs: ROUTE_TIMEOUT_MS,
            targetMs: 300,
            tier: 1,
            resumable: false,
            keyless: true,
            targets: [{ pool, weight: 1 }],
        })),
        pools: ["bulk", "orders"].map(pool => ({ pool, connections: 1_000 })),
        limits: { headerBytes: 16_384, bodyBytes: BODY_LIMIT_BYTES, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 },
    };
}
