import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, ZoneId } from "../../ids/index.js";
import { SeededRandom, VirtualClock } from "../../ports/index.js";
import { RelayPicker } from "./index.js";

const SOHAR = "sohar" as ZoneId;
const NONE: ReadonlySet<HostId> = new Set();

describe("RelayPicker", () => {
    function makePicker(...hosts: string[]) {
        const clock = new VirtualClock();
        const relays = hosts.map(host => ({
            host: host as HostId,
            zone: host.split("-")[0] as ZoneId,
            address: { host: "10.0.1.1", port: 7002 },
        }));
        const directory = { listRelays: () => relays };
        const picker = new RelayPicker({ clock, directory, random: new SeededRandom(1), zone: SOHAR });
        return { clock, picker };
    }

    function pickMany(picker: RelayPicker, count: number, upstreamZone = SOHAR): string[] {
        return Array.from({ length: count }, () => {
            const relay = picker.pick(upstreamZone, NONE)!;
            picker.begin(relay.host);
            return relay.host;
        });
    }

    describe("pick", () => {
        it("spreads requests over the relays of its zone, and over others as these fill up", () => {
            const { picker } = makePicker("sohar-1", "sohar-2", "barka-1");
            const picked = pickMany(picker, 18);
            assert.deepEqual(picked.slice(0, 8).filter(host => host === "barka-1"), []);
            const counts = ["sohar-1", "sohar-2", "barka-1"].map(name => picked.filter(host => host === name).length);
            assert.ok(counts[0] > 4 && counts[1] > 4 && counts[2] > 1, counts.join(" "));
        });

        it("takes relays in the upstream's zone like those in its own", () => {
            const { picker } = makePicker("barka-1", "muscat-1");
            assert.deepEqual(new Set(pickMany(picker, 3, "muscat" as ZoneId)), new Set(["muscat-1"]));
        });

        it("prefers a relay that has reached an upstream lately", async () => {
            const { clock, picker } = makePicker("sohar-1", "barka-1");
            picker.markProved("barka-1" as HostId);
            assert.equal(picker.pick(SOHAR, NONE)!.host, "barka-1");
            await clock.advance(2_001);
            assert.equal(picker.pick(SOHAR, NONE)!.host, "sohar-1");
        });

        it("leaves out a relay that could not help until its time is over", async () => {
            const { clock, picker } = makePicker("sohar-1");
            picker.markUnfit("sohar-1" as HostId, 300);
            assert.equal(picker.pick(SOHAR, NONE), undefined);
            assert.equal(picker.hasAny(), false);
            await clock.advance(300);
            assert.equal(picker.pick(SOHAR, NONE)!.host, "sohar-1");
        });

        it("counts a request once, however often its end is reported", () => {
            const { picker } = makePicker("sohar-1", "sohar-2");
            const end = picker.begin("sohar-1" as HostId);
            picker.begin("sohar-1" as HostId);
            end();
            end();
            picker.begin("sohar-2" as HostId);
            picker.begin("sohar-2" as HostId);
            assert.equal(picker.pick(SOHAR, NONE)!.host, "sohar-1");
        });
    });

    describe("pickApart", () => {
        it("takes relays of different zones, other zones first", () => {
            // Hosts of one zone often lose their paths together.
            const { picker } = makePicker("sohar-1", "sohar-2", "barka-1", "barka-2", "muscat-1");
            const zones = picker.pickApart(3, NONE).map(({ zone }) => zone);
            assert.deepEqual(new Set(zones.slice(0, 2)), new Set(["barka", "muscat"]));
            assert.equal(zones[2], "sohar");
        });
    });
});
