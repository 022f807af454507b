import { parse } from "ini";

/** One line of a file. A name that stands twice in its section has two values. */
export interface IniEntry {
    /** Empty before the first section's heading. */
    readonly section: string;
    readonly name: string;
    readonly values: readonly string[];
}

/** A file's content. */
export interface IniFile {
    readonly sections: readonly string[];
    readonly entries: readonly IniEntry[];
}

/**
 * Reads INI text.
 *
 * @example
 * readIni("role = entry\n[host]\nid = a").sections; // ["host"]
 */
export function readIni(text: string): IniFile {
    // Without bracketed arrays the library keeps every value of a name that stands twice, instead of the last alone: a
    // doubled setting is then seen as the mistake it is.
    const parsed = parse(text, { bracketedArray: false }) as Record<string, unknown>;
    const sections: string[] = [];
    const entries: IniEntry[] = [];
    for (const [key, value] of Object.entries(parsed)) {
        if (!isSection(value)) {
            entries.push({ section: "", name: key, values: toTexts(value) });
            continue;
        }
        sections.push(key);
        for (const [name, inner] of Object.entries(value)) {
            entries.push({ section: key, name, values: toTexts(inner) });
        }
    }
    return { sections, entries };
}

function isSection(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}

function toTexts(value: unknown): string[] {
    return Array.isArray(value) ? value.map(String) : [String(value)];
}
