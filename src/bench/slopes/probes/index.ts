import { Probe } from "../probe/index.js";

/** Loads the module of one probe only, so that the modules of the others aren't in the process's memory. */
type ProbeLoader = () => Promise<Probe>;

async function loadBase(name: string): Promise<Probe> {
    const { BASE_PROBES } = await import("./base/index.js");
    return BASE_PROBES.find(probe => probe.name === name)!;
}

const LOADERS: Readonly<Record<string, ProbeLoader>> = {
    "base-node": () => loadBase("base-node"),
    "base-entry": () => loadBase("base-entry"),
    "base-control": () => loadBase("base-control"),
    "wire": async () => new (await import("./wire/index.js")).WireProbe(),
    "announcements": async () => new (await import("./announcements/index.js")).AnnouncementProbe(),
    "histograms": async () => new (await import("./histograms/index.js")).HistogramProbe(),
    "view": async () => new (await import("./view/index.js")).ViewProbe(),
    "state": async () => new (await import("./state/index.js")).StateProbe(),
    "pulls": async () => new (await import("./pulls/index.js")).PullProbe(),
    "usage": async () => new (await import("./usage/index.js")).UsageProbe(),
    "ledger": async () => new (await import("./ledger/index.js")).LedgerProbe(),
    "upstreams": async () => new (await import("./upstreams/index.js")).UpstreamProbe(),
    "dispatch": async () => new (await import("./dispatch/index.js")).DispatchProbe(),
    "log": async () => new (await import("./log/index.js")).LogProbe(),
    "entry": async () => new (await import("./entry/index.js")).EntryProbe(),
};

/** Names of the probes, in the order in which they run. */
export const PROBE_NAMES: readonly string[] = Object.keys(LOADERS);

/**
 * Loads a probe by its name.
 *
 * @throws RangeError when there is no probe of that name.
 */
export function loadProbe(name: string): Promise<Probe> {
    const load = LOADERS[name];
    if (!load) throw new RangeError(`no probe ${name}, expected one of ${PROBE_NAMES.join(", ")}`);
    return load();
}
