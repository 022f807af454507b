import { Either, Left, Right } from "purify-ts";
import { HostId, ZoneId } from "../../ids/index.js";
import { Address, parseAddress } from "../../ports/index.js";
import { NodeFile } from "../nodeFile/index.js";

/** What of a machine's settings both roles need, in the product's words. */
export interface NodeSettings {
    readonly host: HostId;
    readonly zone: ZoneId;
    readonly region: string;
    /** All zones of the platform (`zones.NAME`). */
    readonly zones: readonly ZoneId[];
    readonly ip: string;
    /** Where entries' callers come in (`listen.frontend`); undefined on machines without an entry. */
    readonly callers: Address | undefined;
    /** Where the platform asks whether the entry is ready (`listen.ready`). */
    readonly readiness: Address | undefined;
    /** Where upstreams and operators reach a control process (`listen.controlPlane`). */
    readonly control: Address | undefined;
    /** Where control processes talk to each other and to entries: the same port on each machine. */
    readonly controlPeerPort: number;
    readonly entryPeerPort: number;
    /** Hosts of control processes (`seeds` names their public addresses; between own processes only the IP number counts). */
    readonly seeds: readonly Address[];
    /** This host's control process is one of the seeds. */
    readonly isSeed: boolean;
    /** The whole system starts for the first time. */
    readonly isFirstStart: boolean;
    readonly dataFolder: string | undefined;
    readonly heartbeatMs: number;
    /** How many machines with a disk may be lost at once. */
    readonly toleratedLosses: number;
    /** The platform's interface for usage and orders (`cloudApi`); undefined where there is none. */
    readonly platform: Address | undefined;
    /** It refuses calls with an old fencing token. */
    readonly platformChecksFence: boolean;
    readonly graceMs: number;
    /** How soon after its withdrawal was acknowledged a key must be refused everywhere. */
    readonly revokeMs: number;
    /** Within this span two holders of a duty must not take turns. */
    readonly dutyLeaseMs: number;
    readonly usageWindowMs: number;
    /** How soon after its end a window's usage is due. */
    readonly usageDueMs: number;
    readonly repeatRatio: number;
    readonly repeatWindowMs: number;
    readonly repeatSlack: number;
}

const MS_PER_SECOND = 1_000;
/** Begins the names of the fields that give each zone's region. */
const ZONE_PREFIX = "zones.";

/**
 * Turns a settings file into settings.
 *
 * @returns On the left, one line for each field that is missing or can't be read.
 */
export function readNodeSettings(file: NodeFile): Either<readonly string[], NodeSettings> {
    const problems: string[] = [];
    const text = (name: string): string => {
        const value = file.get(name);
        if (value === undefined || value === "") problems.push(`${name} is missing`);
        return value ?? "";
    };
    const number = (name: string, fallback: number): number => {
        const value = file.get(name);
        const read = value === undefined || value === "" ? fallback : Number(value);
        if (!Number.isFinite(read)) problems.push(`${name} is no number: ${value}`);
        return read;
    };
    const address = (name: string): Address | undefined => {
        const value = file.get(name);
        if (value === undefined || value === "") return undefined;
        const read = parseAddress(value);
        if (!read) problems.push(`${name} is no IP:port: ${value}`);
        return read;
    };
    const seconds = (name: string, fallback: number): number => MS_PER_SECOND * number(name, fallback);
    const [firstPort] = text("internalPorts").split(",").map(Number);
    if (!Number.isInteger(firstPort)) problems.push("internalPorts names no port");
    const controlPeerPort = firstPort;
    const seedHosts = text("seeds").split(",").map(seed => parseAddress(seed.trim())?.host);
    const seeds = seedHosts.flatMap(host => host === undefined ? [] : [{ host, port: controlPeerPort }]);
    const ip = text("ip");
    const settings: NodeSettings = {
        host: text("nodeName") as HostId,
        zone: text("zone") as ZoneId,
        region: text("region"),
        zones: listZones(file),
        ip,
        callers: address("listen.frontend"),
        readiness: address("listen.ready"),
        control: address("listen.controlPlane"),
        controlPeerPort,
        entryPeerPort: controlPeerPort + 1,
        seeds,
        isSeed: seeds.some(({ host }) => host === ip),
        isFirstStart: file.get("firstStart") === "true",
        dataFolder: file.get("dataDir") || undefined,
        heartbeatMs: number("heartbeatMs", 1_200),
        toleratedLosses: number("faultTolerance.machines", 1),
        platform: address("cloudApi.address"),
        platformChecksFence: file.get("bounds.fencingRequired") === "true",
        graceMs: seconds("bounds.graceS", 8),
        revokeMs: number("bounds.revokeMs", 5_000),
        dutyLeaseMs: number("bounds.leaseMs", 3_000),
        usageWindowMs: seconds("bounds.reportWindowS", 5),
        usageDueMs: seconds("bounds.usageLateS", 10),
        repeatRatio: number("bounds.retryBudgetRatio", 0.2),
        repeatWindowMs: seconds("bounds.budgetWindowS", 10),
        repeatSlack: number("bounds.retryBudgetSlack", 50),
    };
    if (seeds.length === 0) problems.push("seeds names no address");
    return problems.length > 0 ? Left(problems) : Right(settings);
}

function listZones(file: NodeFile): ZoneId[] {
    return [...file.keys()]
        .filter(name => name.startsWith(ZONE_PREFIX))
        .map(name => name.slice(ZONE_PREFIX.length) as ZoneId);
}
