import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Address, FileDisk, formatAddress } from "../../ports/index.js";
import { Settings } from "../schema/index.js";
import { parseSettings } from "./index.js";

const ENTRY = `
role = entry
[host]
id = vogar-1 ; a comment
zone = vogar
region = sudurnes
[listen]
callers = 10.20.4.11:8080
upstreams = 10.20.4.11:8090
peers = 10.20.4.11:7000
admin = 10.20.4.11:7100
[control]
members = keflavik-1@10.20.1.11:7001, vogar-1@10.20.4.11:7001
`;

const CONTROL = `
role = control
[host]
id = vogar-1
zone = vogar
region = sudurnes
[listen]
peers = 10.20.4.11:7001
operators = 10.20.4.11:7101
[control]
members = vogar-1@10.20.4.11:7001
[data]
folder = /var/lib/sequoiamux
[platform]
`;

function listProblems(text: string): string[] {
    return parseSettings(text, "x.ini").caseOf({ Left: errs => errs.map(err => err.message), Right: () => [] });
}

function parseValid(text: string) {
    return parseSettings(text, "x.ini").mapLeft(errs => errs.join("\n")).unsafeCoerce();
}

describe("parseSettings", () => {
    describe("a good file", () => {
        it("is parsed into an entry's settings with defaults", () => {
            const settings = parseValid(ENTRY);
            assert.equal(settings.role, "entry");
            assert.deepEqual(settings.listen.peers, { host: "10.20.4.11", port: 7000 });
            assert.equal(settings.control.members.length, 2);
            assert.equal(settings.usage.windowMs, 60_000);
            assert.equal(settings.metrics.statsd, undefined);
        });

        it("is parsed into a control process's settings", () => {
            const settings = parseValid(CONTROL);
            assert.ok(settings.role === "control");
            assert.equal(settings.data.folder, "/var/lib/sequoiamux");
            assert.equal(settings.timing.electionMs, 1_000);
        });
    });

    describe("a mistake", () => {
        const mistakes: readonly (readonly [name: string, text: string, problem: RegExp])[] = [
            ["no role", "[host]\nid = a", /^x\.ini: role: expected entry or control$/],
            [
                "an unknown section",
                `${ENTRY}[limts]\nqueued = 1`,
                /^x\.ini: \[limts\] unknown section for the role entry/,
            ],
            [
                "an unknown name",
                `${ENTRY}[limits]\nqueue = 1`,
                /^x\.ini: \[limits\] queue: unknown name, expected one of body/,
            ],
            ["a name before any section", `queued = 1\n${ENTRY}`, /queued: unknown name, expected a section/],
            ["a name that stands twice", `${ENTRY}[log]\nlevel = info\nlevel = warn`, /\[log\] level: stands twice/],
            [
                "a bad number",
                `${ENTRY}[limits]\nrequests = many`,
                /requests: expected a whole number from 1.*found "many"/,
            ],
            [
                "a number out of bounds",
                `${ENTRY}[usage]\nwindow_ms = 5`,
                /window_ms: expected a whole number from 1000/,
            ],
            ["a name without a value", `${ENTRY}[metrics]\nstatsd`, /statsd: expected IP:port, found "true"/],
            ["a DNS name", ENTRY.replace("10.20.4.11:7100", "host.example:7100"), /admin: expected IP:port/],
            [
                "two listeners on one port",
                ENTRY.replace(":8090", ":8080"),
                /upstreams: expected another address than that of callers/,
            ],
            ["an entry without control addresses", ENTRY.replace(/members.*/, ""), /members: missing, expected 1 to 9/],
            [
                "a control host listed twice",
                ENTRY.replace("vogar-1@", "keflavik-1@"),
                /members: expected 1 to 9 different/,
            ],
            ["a control process without data folder", CONTROL.replace(/folder.*/, ""), /\[data\] folder: missing/],
            [
                "a control process that is no member",
                CONTROL.replace("id = vogar-1", "id = vogar-2"),
                /expected this host, vogar-2/,
            ],
            [
                "an election time below its bound",
                `${CONTROL}[timing]\nelection_ms = 9`,
                /election_ms: expected a whole number from 100/,
            ],
            [
                "a silence below two heartbeats",
                `${ENTRY}[timing]\nsilence_ms = 900`,
                /silence_ms: expected at least twice/,
            ],
            [
                "a host without the memory for one body",
                `${ENTRY}[limits]\nmemory_mb = 200\nbody_bytes = 67108864`,
                /memory_mb: expected at least 622 for one body of body_bytes/,
            ],
            [
                "a section of the other role",
                `${ENTRY}[data]\nfolder = x`,
                /\[data\] unknown section for the role entry/,
            ],
        ];
        for (const [name, text, problem] of mistakes) {
            it(`is reported in one line: ${name}`, () => {
                const problems = listProblems(text);
                assert.equal(problems.length, 1, problems.join("\n"));
                assert.match(problems[0], problem);
            });
        }

        it("does not hide other mistakes", () => {
            const problems = listProblems(`${ENTRY}[limits]\nrequests = many\nbody = 1\n[log]\nlevel = loud`);
            assert.equal(problems.length, 3);
        });
    });
});

describe("the sample files", () => {
    const disk = new FileDisk("settings");

    async function readSamples(folder: string): Promise<Settings[]> {
        const samples: Settings[] = [];
        for (const name of await disk.list(folder)) {
            const text = Buffer.from((await disk.read(`${folder}/${name}`))!).toString();
            samples.push(parseSettings(text, name).mapLeft(errs => new Error(errs.join("\n"))).unsafeCoerce());
        }
        return samples;
    }

    for (const [folder, zones] of [["utility", 4], ["consortium", 3]] as const) {
        describe(folder, () => {
            it("have 7 entries in all zones and 3 control processes", async () => {
                const samples = await readSamples(folder);
                assert.equal(samples.filter(({ role }) => role === "entry").length, 7);
                assert.equal(samples.filter(({ role }) => role === "control").length, 3);
                assert.equal(new Set(samples.map(({ host }) => host.zone)).size, zones);
                assert.equal(new Set(samples.map(({ host }) => host.region)).size, 1);
            });

            it("agree with each other", async () => {
                const samples = await readSamples(folder);
                const listed = samples[0].control.members.map(member =>
                    `${member.host}@${formatAddress(member.address)}`
                );
                const listening = samples
                    .filter(({ role }) => role === "control")
                    .map(({ host, listen }) => `${host.id}@${formatAddress(listen.peers)}`);
                assert.deepEqual([...listed].sort(), listening.sort());
                for (const { control, usage } of samples) {
                    assert.deepEqual(control.members, samples[0].control.members);
                    assert.equal(usage.windowMs, samples[0].usage.windowMs);
                }
                const isSet = (address: Address | undefined): address is Address => address !== undefined;
                const addresses = samples.flatMap(({ listen }) =>
                    Object.values(listen).filter(isSet).map(formatAddress)
                );
                assert.equal(new Set(addresses).size, addresses.length);
            });
        });
    }
});
