import { Announcement, announcementSchema } from "../../../../protocol/index.js";
import { decodeValue, encodeValue } from "../../../../wire/index.js";
import { timeCalls } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";

const CACHE_EVENT_COUNTS = [0, 8, 16, 32, 64];
const PREFIX_DIGITS = 16;

/** Measures an upstream's announcement by the number of its cache events: size as JSON and msgpack, and time to decode. */
export class AnnouncementProbe extends Probe {
    readonly name = "announcements";

    async run(recorder: SlopeRecorder): Promise<void> {
        for (const events of CACHE_EVENT_COUNTS) {
            const announcement = makeAnnouncement(events);
            const text = JSON.stringify(announcement);
            const packed = encodeValue(announcement);
            recorder.add("announcement.json.bytes", events, Buffer.byteLength(text));
            recorder.add("announcement.msgpack.bytes", events, packed.length);
            for (const durationUs of await timeCalls(() => announcementSchema.parse(JSON.parse(text)))) {
                recorder.add("announcement.read", events, durationUs);
            }
            for (const durationUs of await timeCalls(() => decodeValue(packed))) {
                recorder.add("announcement.unpack", events, durationUs);
            }
        }
    }
}

/** Creates an engine's announcement with typical load figures. */
export function makeAnnouncement(events: number, index = 17): Announcement {
    const prefixes = Array.from(
        { length: events },
        (_, offset) => (offset + index).toString(16).padStart(PREFIX_DIGITS, "0"),
    );
    return {
        id: `engine-north-2-${index}`,
        incarnation: 1_780_000_000,
        sequence: 86_400,
        state: "ready",
        kind: "engine",
        pools: ["general-70b"],
        zone: "north-2",
        address: `10.32.${index % 250}.17:8000`,
        slots: 64,
        price_per_hour: 2_450_000,
        reclaimable: true,
        checks_fence: true,
        software_version: "1.0",
        load: { running: 41, queued: 3, kv_used: 0.7231, tokens_per_second: 1_093.4, age_ms: 212 },
        cache: { sequence: 123_456, events: prefixes.map(prefix => ({ kind: "stored", prefix })) },
    };
}
