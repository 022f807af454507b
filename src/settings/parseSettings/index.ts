import { Either, Left, Right } from "purify-ts";
import { formatAddress, minMemoryMb } from "../../ports/index.js";
import { IniEntry, IniFile, readIni } from "../_lib/readIni.js";
import { listSettingRows, SettingRow, toIniName } from "../_lib/settingRows.js";
import { controlSchema, entrySchema, EntrySettings, Settings } from "../schema/index.js";

/** One problem in a settings file; `message` is a single line for the operator. */
export class SettingsError extends Error {
    constructor(
        readonly file: string,
        /** Section of the setting; empty before the first section's heading. */
        readonly section: string,
        /** Name of the setting; empty when the problem concerns the whole section. */
        readonly setting: string,
        /** Description of the problem and of the expected value. */
        readonly problem: string,
    ) {
        super([`${file}:`, section && `[${section}]`, setting && `${setting}:`, problem].filter(Boolean).join(" "));
    }
}

type Role = Settings["role"];

const SCHEMAS = { entry: entrySchema, control: controlSchema } as const;

/**
 * Parses and validates a daemon's settings file.
 *
 * @param text - Content of the INI file.
 * @param fileName - Name of the file for error messages.
 * @returns The settings, or all problems found.
 * @example
 * parseSettings(text, "entry.ini").caseOf({ Left: printLines, Right: start });
 */
export function parseSettings(text: string, fileName: string): Either<SettingsError[], Settings> {
    const file = readIni(text);
    const role = findRole(file);
    if (!role) return Left([new SettingsError(fileName, "", "role", "expected entry or control")]);
    const rows = listSettingRows(role);
    const unknownEntries = findUnknownEntries(file, rows, fileName, role);
    const parsed = SCHEMAS[role].safeParse(toSchemaInput(file, rows, role));
    const invalidValues = (parsed.error?.issues ?? []).map(issue => describeIssue(issue.path, file, rows, fileName));
    if (!parsed.success) return Left([...unknownEntries, ...invalidValues]);
    const problems = [...unknownEntries, ...findConflicts(parsed.data, fileName)];
    return problems.length > 0 ? Left(problems) : Right(parsed.data);
}

function findRole({ entries }: IniFile): Role | undefined {
    const values = entries.find(entry => entry.section === "" && entry.name === "role")?.values ?? [];
    if (values.length !== 1) return undefined;
    return values[0] === "entry" || values[0] === "control" ? values[0] : undefined;
}

/** Finds sections and names that the role does not have, and names that occur twice. */
function findUnknownEntries(file: IniFile, rows: readonly SettingRow[], fileName: string, role: Role): SettingsError[] {
    const knownSections = [...new Set(rows.map(row => row.section))];
    const sections = file.sections
        .filter(section => !knownSections.includes(section))
        .map(section => {
            const problem = `unknown section for the role ${role}, expected one of ${knownSections.join(", ")}`;
            return new SettingsError(fileName, section, "", problem);
        });
    const names = file.entries.flatMap(entry => {
        const problem = describeUnknownName(entry, rows, knownSections);
        return problem ? [new SettingsError(fileName, entry.section, entry.name, problem)] : [];
    });
    return [...sections, ...names];
}

function describeUnknownName(
    entry: IniEntry,
    rows: readonly SettingRow[],
    knownSections: string[],
): string | undefined {
    if (entry.values.length > 1) return "stands twice, expected once";
    if (entry.section === "") return entry.name === "role" ? undefined : "unknown name, expected a section before it";
    if (!knownSections.includes(entry.section)) return undefined;
    const names = rows.filter(row => row.section === entry.section).map(row => row.name);
    return names.includes(entry.name) ? undefined : `unknown name, expected one of ${names.join(", ")}`;
}

function toSchemaInput({ entries }: IniFile, rows: readonly SettingRow[], role: Role): unknown {
    const input: Record<string, unknown> = { role };
    for (const { section, name, key } of rows) {
        const found = entries.find(entry => entry.section === section && entry.name === name);
        const values = (input[section] ?? {}) as Record<string, string | undefined>;
        input[section] = { ...values, [key]: found?.values[0] };
    }
    return input;
}

function describeIssue(
    path: readonly PropertyKey[],
    file: IniFile,
    rows: readonly SettingRow[],
    fileName: string,
): SettingsError {
    const [section, key] = path.map(String);
    const name = toIniName(key);
    const expected = rows.find(row => row.section === section && row.key === key)?.info.expected ?? "";
    const found = file.entries.find(entry => entry.section === section && entry.name === name);
    const problem = found ? `expected ${expected}, found "${found.values[0]}"` : `missing, expected ${expected}`;
    return new SettingsError(fileName, section, name, problem);
}

/** Finds values that are valid on their own but conflict with each other. */
function findConflicts(settings: Settings, fileName: string): SettingsError[] {
    const conflicts = findListenConflicts(settings, fileName);
    const { heartbeatMs, silenceMs } = settings.timing;
    if (silenceMs < 2 * heartbeatMs) {
        const problem = `expected at least twice heartbeat_ms (${2 * heartbeatMs}), found "${silenceMs}"`;
        conflicts.push(new SettingsError(fileName, "timing", "silence_ms", problem));
    }
    if (settings.role === "entry") return [...conflicts, ...findMemoryConflicts(settings, fileName)];
    if (!settings.control.members.some(member => member.host === settings.host.id)) {
        const problem = `expected this host, ${settings.host.id}, among them`;
        conflicts.push(new SettingsError(fileName, "control", "members", problem));
    }
    return conflicts;
}

/** Finds a limit of bodies that the host has no memory for. */
function findMemoryConflicts({ limits }: EntrySettings, fileName: string): SettingsError[] {
    const { memoryMb, bodyBytes } = limits;
    const neededMb = minMemoryMb(bodyBytes);
    if (memoryMb >= neededMb) return [];
    const problem = `expected at least ${neededMb} for one body of body_bytes (${bodyBytes}), found "${memoryMb}"`;
    return [new SettingsError(fileName, "limits", "memory_mb", problem)];
}

function findListenConflicts(settings: Settings, fileName: string): SettingsError[] {
    const settingByAddress = new Map<string, string>();
    const conflicts: SettingsError[] = [];
    for (const [key, address] of Object.entries(settings.listen)) {
        if (address === undefined) continue;
        const text = formatAddress(address);
        const other = settingByAddress.get(text);
        if (other && address.port !== 0) {
            const problem = `expected another address than that of ${other}, found "${text}"`;
            conflicts.push(new SettingsError(fileName, "listen", toIniName(key), problem));
        }
        settingByAddress.set(text, key);
    }
    return conflicts;
}
