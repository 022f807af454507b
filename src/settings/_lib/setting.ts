import * as z from "zod";
import { HostId } from "../../ids/index.js";
import { Address, formatAddress, parseAddress } from "../../ports/index.js";

/** Documentation of a setting, for the settings page and for error messages. */
export interface SettingInfo {
    /** Description with the unit. */
    readonly doc: string;
    /** Description of valid values, to follow the word "expected". */
    readonly expected: string;
    /** Default value as text; undefined when there is none. */
    readonly defaultText?: string;
    readonly isRequired: boolean;
}

/** A type of value with its parser. */
export interface SettingKind<Value> {
    /** Description of valid values, to follow the word "expected". */
    readonly expected: string;
    /** Parses a value; returns undefined for an invalid one. */
    readonly read: (text: string) => Value | undefined;
}

/** A control process: its host and the address on which it listens for peers. */
export interface ControlMember {
    readonly host: HostId;
    readonly address: Address;
}

/** Documentation of each setting, by its schema. */
export const settingRegistry = z.registry<SettingInfo>();

/** Maximum number of control processes; no more hosts than this may be reserved for control. */
const MAX_CONTROL_MEMBERS = 9;
const NAME_PATTERN = /^[a-zA-Z0-9][\w.-]{0,62}$/;
const IP_ADDRESS_PATTERN = /^[0-9.]+$|:/;

/** Creates the schema of a setting that the file must contain. */
export function required<Value>(kind: SettingKind<Value>, doc: string) {
    const schema = makeSchema(kind);
    settingRegistry.add(schema, { doc, expected: kind.expected, isRequired: true });
    return schema;
}

/** Creates the schema of an optional setting without a default. */
export function optional<Value>(kind: SettingKind<Value>, doc: string) {
    const schema = makeSchema(kind).optional();
    settingRegistry.add(schema, { doc, expected: kind.expected, isRequired: false });
    return schema;
}

/** Creates the schema of a setting with a default, given as text. */
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

/** One value of a list. */
export function oneOf<const Choice extends string>(...choices: readonly Choice[]): SettingKind<Choice> {
    return { expected: choices.join(" or "), read: text => choices.find(choice => choice === text) };
}

/** The name of a host, a zone or a region. */
export function identifier<Id extends string>(): SettingKind<Id> {
    const read = (text: string): Id | undefined => NAME_PATTERN.test(text) ? text as Id : undefined;
    return { expected: "a name of letters, digits, dots, hyphens and underscores", read };
}

/** An IP address and a port. DNS names are refused, since hosts know each other only by IP address. */
export const ipAddress: SettingKind<Address> = {
    expected: "IP:port",
    read: text => {
        const address = parseAddress(text);
        return address && IP_ADDRESS_PATTERN.test(address.host) ? address : undefined;
    },
};

/** The path of a folder; not empty. */
export const folderPath: SettingKind<string> = {
    expected: "a folder's path",
    read: text => text.length > 0 ? text : undefined,
};

/** Control processes as `host@IP:port`, separated by commas; each host and each address may occur once. */
export const memberList: SettingKind<readonly ControlMember[]> = {
    expected: `1 to ${MAX_CONTROL_MEMBERS} different host@IP:port, separated by commas`,
    read: text => {
        const members = text.split(",").map(readMember);
        const valid = members.filter(member => member !== undefined);
        if (valid.length < members.length || valid.length > MAX_CONTROL_MEMBERS) return undefined;
        const uniqueHosts = new Set(valid.map(member => member.host));
        const uniqueAddresses = new Set(valid.map(member => formatAddress(member.address)));
        return uniqueHosts.size === valid.length && uniqueAddresses.size === valid.length ? valid : undefined;
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
