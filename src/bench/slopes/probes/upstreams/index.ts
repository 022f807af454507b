import { LocalDispatcher, rankPoolOwners } from "../../../../dispatch/index.js";
import { HostId, PoolId, ZoneId } from "../../../../ids/index.js";
import { SeededRandom, VirtualClock } from "../../../../ports/index.js";
import { Announcement } from "../../../../protocol/index.js";
import { UpstreamRegistry } from "../../../../upstream/index.js";
import { heapBytes, timeCalls } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";
import { makeAnnouncement } from "../announcements/index.js";

const UPSTREAM_COUNTS = [225, 450, 900, 1_350, 1_800];
const HOST_COUNTS = [50, 100, 200, 300, 410];
const POOL_COUNT = 9;
const CACHE_EVENT_COUNT = 8;

/** Measures the upstream registry by the number of upstreams, and the choice of a pool's owner by the number of hosts. */
export class UpstreamProbe extends Probe {
    readonly name = "upstreams";

    async run(recorder: SlopeRecorder): Promise<void> {
        for (const count of UPSTREAM_COUNTS) await measureRegistry(count, recorder);
        for (const count of HOST_COUNTS) {
            const hosts = Array.from({ length: count }, (_, index) => `north-2-entry-${index}` as HostId);
            const rankOwners = (): unknown => rankPoolOwners("general-70b" as PoolId, "north", hosts);
            recorder.addAll("owner.choose", count, await timeCalls(rankOwners));
        }
    }
}

async function measureRegistry(count: number, recorder: SlopeRecorder): Promise<void> {
    const clock = new VirtualClock();
    const before = heapBytes();
    const registry = new UpstreamRegistry({ clock });
    const dispatcher = new LocalDispatcher({
        clock,
        random: new SeededRandom(1),
        registry,
        zone: "north-2" as ZoneId,
    });
    for (let index = 0; index < count; index++) registry.announce(makePoolAnnouncement(index, 1));
    recorder.add("registry.heap", count, heapBytes() - before);
    let sequence = 1;
    const announce = (): unknown => registry.announce(makePoolAnnouncement(sequence % count, 1 + ++sequence));
    recorder.addAll("registry.announce", count, await timeCalls(announce));
    recorder.addAll("registry.expire", count, await timeCalls(() => registry.expire()));
    dispatcher.close();
}

function makePoolAnnouncement(index: number, sequence: number): Announcement {
    return { ...makeAnnouncement(CACHE_EVENT_COUNT, index), sequence, pools: [`pool-${index % POOL_COUNT}`] };
}
