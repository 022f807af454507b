import { Either, Left, Right } from "purify-ts";
import { HostId, ZoneId } from "../../ids/index.js";
import { Address, parseAddress } from "../../ports/index.js";
import { NodeFile } from "../nodeFile/index.js";

/** Settings of a machine for both roles, converted from the platform's names and units. */
export interface NodeSettings {
    readonly host: HostId;
    readonly zone: ZoneId;
    readonly region: string;
    /** All zones of the platform (`zones.NAME`). */
    readonly zones: readonly ZoneId[];
    readonly ip: string;
    /** Address on which an entry listens for callers (`listen.frontend`); undefined on machines without an entry. */
    readonly callers: Address | undefined;
    /** Address on which the platform queries the entry's readiness (`listen.ready`). */
    readonly readiness: Address | undefined;
    /** Address on which a control process listens for upstreams and operators (`listen.controlPlane`). */
    readonly control: Address | undefined;
    /** Port on which control processes accept connections of each other and of entries; the same on each machine. */
    readonly controlPeerPort: number;
    /** Port on which entries accept connections of the system's other processes. */
    readonly entryPeerPort: number;
    /** Port on which entries send requests to upstreams for each other. */
    readonly relayPort: number;
    /**
     * Peer addresses of control processes. The file's `seeds` lists their public addresses, of which only the IP address is
     * used; the port is `controlPeerPort`.
     */
    readonly seeds: readonly Address[];
    /** Whether this host's control process is one of the seeds. */
    readonly isSeed: boolean;
    /** Whether the whole system starts for the first time. */
    readonly isFirstStart: boolean;
    /** Folder for a control process's data (`dataDir`); undefined on machines without one. */
    readonly dataFolder: string | undefined;
    /** Interval between heartbeats of an upstream. */
    readonly heartbeatMs: number;
    /** Number of machines with a disk that may be lost at the same time. */
    readonly toleratedLosses: number;
    /** Address of the platform's interface for usage reports and orders (`cloudApi.address`); undefined without one. */
    readonly platform: Address | undefined;
    /** Whether the platform refuses calls with an old fencing token. */
    readonly platformChecksFence: boolean;
    /** Memory that a process may use (`limits.memoryMb`), in MB. */
    readonly memoryMb: number;
    /** Grace period for a planned stop. */
    readonly graceMs: number;
    /** Maximum time from the acknowledgement of a key's withdrawal until every entry refuses the key. */
    readonly revokeMs: number;
    /** Length of the lease on a duty: two holders must not alternate within this time. */
    readonly dutyLeaseMs: number;
    /** Length of a usage window. */
    readonly usageWindowMs: number;
    /** Maximum time from the end of a usage window until its usage must be reported. */
    readonly usageDueMs: number;
    /** Retry budget: maximum retries as a share of the requests in `repeatWindowMs`, in addition to `repeatSlack`. */
    readonly repeatRatio: number;
    /** Retry budget: length of the window in which requests and retries are counted. */
    readonly repeatWindowMs: number;
    /** Retry budget: number of retries that are allowed whatever the number of requests. */
    readonly repeatSlack: number;
}

const MS_PER_SECOND = 1_000;
/** Prefix of the fields that name each zone's region, such as `zones.vogar`. */
const ZONE_FIELD_PREFIX = "zones.";

/**
 * Reads and checks the settings of a machine.
 *
 * @returns On the left, one line for each field that is missing or can't be read.
 */
export function readNodeSettings(file: NodeFile): Either<readonly string[], NodeSettings> {
    const problems: string[] = [];
    const readText = (name: string): string => {
        const value = file.get(name);
        if (value === undefined || value === "") problems.push(`${name} is missing`);
        return value ?? "";
    };
    const readNumber = (name: string, fallback: number): number => {
        const value = file.get(name);
        const parsed = value === undefined || value === "" ? fallback : Number(value);
        if (!Number.isFinite(parsed)) problems.push(`${name} is no number: ${value}`);
        return parsed;
    };
    const readAddress = (name: string): Address | undefined => {
        const value = file.get(name);
        if (value === undefined || value === "") return undefined;
        const parsed = parseAddress(value);
        if (!parsed) problems.push(`${name} is no IP:port: ${value}`);
        return parsed;
    };
    const readSecondsAsMs = (name: string, fallback: number): number => MS_PER_SECOND * readNumber(name, fallback);
    const [firstPort] = readText("internalPorts").split(",").map(Number);
    if (!Number.isInteger(firstPort)) problems.push("internalPorts names no port");
    const controlPeerPort = firstPort;
    const seedHosts = readText("seeds").split(",").map(seed => parseAddress(seed.trim())?.host);
    const seeds = seedHosts.flatMap(host => host === undefined ? [] : [{ host, port: controlPeerPort }]);
    const ip = readText("ip");
    const settings: NodeSettings = {
        host: readText("nodeName") as HostId,
        zone: readText("zone") as ZoneId,
        region: readText("region"),
        zones: listZones(file),
        ip,
        callers: readAddress("listen.frontend"),
        readiness: readAddress("listen.ready"),
        control: readAddress("listen.controlPlane"),
        controlPeerPort,
        entryPeerPort: controlPeerPort + 1,
        relayPort: controlPeerPort + 2,
        seeds,
        isSeed: seeds.some(({ host }) => host === ip),
        isFirstStart: file.get("firstStart") === "true",
        dataFolder: file.get("dataDir") || undefined,
        heartbeatMs: readNumber("heartbeatMs", 1_200),
        toleratedLosses: readNumber("faultTolerance.machines", 1),
        platform: readAddress("cloudApi.address"),
        platformChecksFence: file.get("bounds.fencingRequired") === "true",
        memoryMb: readNumber("limits.memoryMb", 350),
        graceMs: readSecondsAsMs("bounds.graceS", 8),
        revokeMs: readNumber("bounds.revokeMs", 5_000),
        dutyLeaseMs: readNumber("bounds.leaseMs", 3_000),
        usageWindowMs: readSecondsAsMs("bounds.reportWindowS", 5),
        usageDueMs: readSecondsAsMs("bounds.usageLateS", 10),
        repeatRatio: readNumber("bounds.retryBudgetRatio", 0.2),
        repeatWindowMs: readSecondsAsMs("bounds.budgetWindowS", 10),
        repeatSlack: readNumber("bounds.retryBudgetSlack", 50),
    };
    if (seeds.length === 0) problems.push("seeds names no address");
    return problems.length > 0 ? Left(problems) : Right(settings);
}

function listZones(file: NodeFile): ZoneId[] {
    return [...file.keys()]
        .filter(name => name.startsWith(ZONE_FIELD_PREFIX))
        .map(name => name.slice(ZONE_FIELD_PREFIX.length) as ZoneId);
}
