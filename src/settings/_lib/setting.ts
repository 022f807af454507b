import * as z from "zod";
import { HostId } from "../../ids/index.js";
import { Address, formatAddress, parseAddress } from "../../ports/index.js";

/** What the page and the error lines say of a setting. */
export interface SettingInfo {
    /** What it does, with its unit. */
    readonly doc: string;
    /** What a value must be, as the end of "expected …". */
    readonly expected: string;
    /** The value used when the file has none, as text; undefined when there is none. */
    readonly defaultText?: string;
    readonly isRequired: boolean;
}

/** A kind of value: how its text is read, and how that is put in words. */
export interface SettingKind<Value> {
    readonly expected: string;
    /** Gives undefined for a text that is not of the kind. */
    readonly read: (text: string) => Value | undefined;
}

/** A control process: its host and where it listens for peers. */
export interface ControlMember {
    readonly host: HostId;
    readonly address: Address;
}

/** The info of each setting, by its schema. */
export const settingRegistry = z.registry<SettingInfo>();

/** The most control processes: more hosts than that may not be set aside for control. */
const MOST_MEMBERS = 9;
const NAME_PATTERN = /^[a-zA-Z0-9][\w.-]{0,62}$/;
const IP_PATTERN = /^[0-9.]+$|:/;

/** A setting that the file must have. */
export function required<Value>(kind: SettingKind<Value>, doc: string) {
    const schema = makeSchema(kind);
    settingRegistry.add(schema, { doc, expected: kind.expected, isRequired: true });
    return schema;
}

/** A setting that is left out by default. */
export function optional<Value>(kind: SettingKind<Value>, doc: string) {
    const schema = makeSchema(kind).optional();
    settingRegistry.add(schema, { doc, expected: kind.expected, isRequired: false });
    return schema;
}

/** A setting with a default. */
export function withDefault<Value>(kind: SettingKind<Value>, defaultText: string, doc: string) {
    const schema = makeSchema(kind).prefault(defaultText);
    settingRegistry.add(schema, { doc, expected: kind.expected, defaultText, isRequired: false });
    return schema;
}

/** A whole number within bounds, both included. */
export function wholeNumber(low: number, high: number): SettingKind<number> {
    const read = (text: string): number | undefined => {
        const value = /^\d{1,15}$/.test(text) ? Number(text) : undefined;
        return value !== undefined && value >= low && value <= high ? value : undefined;
    };
    return { expected: `a whole number from ${low} to ${high}`, read };
}

/** One word out of a list. */
export function oneOf<const Word extends string>(...words: readonly Word[]): SettingKind<Word> {
    return { expected: words.join(" or "), read: text => words.find(word => word === text) };
}

/** The name of a host, a zone or a region. */
export function name<Id extends string>(): SettingKind<Id> {
    const read = (text: string): Id | undefined => NAME_PATTERN.test(text) ? text as Id : undefined;
    return { expected: "a name of letters, digits, dots, hyphens and underscores", read };
}

/** An IP number and a port; DNS names are refused, since hosts know each other by IP number alone. */
export const ipAddress: SettingKind<Address> = {
    expected: "IP:port",
    read: text => {
        const address = parseAddress(text);
        return address && IP_PATTERN.test(address.host) ? address : undefined;
    },
};

/** A folder's path. */
export const folderPath: SettingKind<string> = {
    expected: "a folder's path",
    read: text => text.length > 0 ? text : undefined,
};

/** The control processes, separated by commas. */
export const memberList: SettingKind<readonly ControlMember[]> = {
    expected: `1 to ${MOST_MEMBERS} different host@IP:port, separated by commas`,
    read: text => {
        const members = text.split(",").map(readMember);
        const known = members.filter(member => member !== undefined);
        if (known.length < members.length || known.length > MOST_MEMBERS) return undefined;
        const hosts = new Set(known.map(member => member.host));
        const addresses = new Set(known.map(member => formatAddress(member.address)));
        return hosts.size === known.length && addresses.size === known.length ? known : undefined;
    },
};

function readMember(text: string): ControlMember | undefined {
    const [host, addressText, ...rest] = text.trim().split("@");
    const address = ipAddress.read(addressText ?? "");
    if (!NAME_PATTERN.test(host) || !address || rest.length > 0) return undefined;
    return { host: host as HostId, address };
}

function makeSchema<Value>(kind: SettingKind<Value>) {
    return z.string().transform((text, context): Value => {
        const value = kind.read(text);
        if (value !== undefined) return value;
        context.addIssue({ code: "custom", message: kind.expected });
        return z.NEVER;
    });
}
