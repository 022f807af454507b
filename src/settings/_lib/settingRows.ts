import * as z from "zod";
import { controlSchema, entrySchema, Settings } from "../schema/index.js";
import { SettingInfo, settingRegistry } from "./setting.js";

/** One setting of one role. */
export interface SettingRow {
    readonly section: string;
    /** Name in the file, such as `heartbeat_ms`. */
    readonly name: string;
    /** Name in the code, such as `heartbeatMs`. */
    readonly key: string;
    readonly info: SettingInfo;
}

const SCHEMAS = { entry: entrySchema, control: controlSchema } as const;

/**
 * Lists the settings of a role in the order of the schema.
 *
 * @example
 * listSettingRows("entry").length;
 */
export function listSettingRows(role: Settings["role"]): SettingRow[] {
    return Object.entries(SCHEMAS[role].shape).flatMap(([section, inner]) => {
        if (!(inner instanceof z.ZodObject)) return [];
        return Object.entries(inner.shape as Record<string, z.ZodType>).map(([key, schema]) => {
            return { section, name: toIniName(key), key, info: settingRegistry.get(schema)! };
        });
    });
}

/**
 * Converts a setting's name in the code to its name in the file.
 *
 * @example
 * toIniName("heartbeatMs"); // "heartbeat_ms"
 */
export function toIniName(key: string): string {
    return key.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}
