/** The router's settings file: schema, validation and defaults. */

export { listSettings, type SettingDescription } from "./list_settings.ts";
export {
  loadSettings,
  parseSettings,
  type SettingsError,
} from "./load_settings.ts";
export {
  type RouterSettings,
  routerSettingsSchema,
} from "./router_settings.ts";
export { parseYamlFile, type ParseYamlFileOptions } from "./yaml_file.ts";
export {
  YamlFileError,
  YamlFileErrorKind,
  type YamlFileErrorOptions,
} from "./yaml_file_error.ts";
